import type {Clock, EventLog, RandomSource} from '@papayarun/protocol';
import type {
  PlacementPolicy,
  SchedulerTiming,
  TargetPort,
} from '@papayarun/scheduling';
import type {NodeSettings} from '../cluster_node/node_settings.js';
import type {Metrics} from '../metrics/metrics.js';
import type {WorkQueue} from '../work_queue/work_queue.js';

/**
 * Options of an entry instance.
 */
export interface EntryInstanceOptions {
  readonly cfg: NodeSettings;
  readonly targetClient: TargetPort;
  readonly timing: SchedulerTiming;
  /** How waiting tasks get their targets; `firstFit` if absent. */
  readonly placement?: PlacementPolicy;
  /** Number of targets that the instance can schedule. */
  readonly maxTargets: number;
  /** Extracts the queues from an accepted configuration. */
  readonly decodeQueues: (content: unknown) => readonly WorkQueue[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}
