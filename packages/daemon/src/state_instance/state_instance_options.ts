import type {Clock, EventLog, RandomSource} from '@papayarun/protocol';
import type {Disk} from '@papayarun/replication';
import type {NodeSettings} from '../cluster_node/node_settings.js';
import type {Metrics} from '../metrics/metrics.js';

/**
 * Options of a state instance.
 */
export interface StateInstanceOptions {
  readonly cfg: NodeSettings;
  /** Whether the whole cluster starts for the first time, with empty disks. */
  readonly isFirstStart: boolean;
  readonly disk: Disk;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}
