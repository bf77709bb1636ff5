import type {
  Clock,
  EventLog,
  InstanceDigest,
  Outcome,
  Work,
} from '@papayarun/protocol';
import type {TargetDiscovery} from '../target_discovery/target_discovery.js';

/**
 * Dependencies of a job runner.
 */
export interface JobRunnerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Capacity of this instance and of its data centre. */
  readonly digest: () => InstanceDigest;
  /** Period in which workers of this data centre may not be known yet. */
  readonly discovery: TargetDiscovery;
  /** Number of the release in force. */
  readonly release: () => number;
  /** Runs one task on a worker. */
  readonly route: (work: Work, signal: AbortSignal) => Promise<Outcome>;
}
