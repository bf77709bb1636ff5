import type {DataCentreId} from '../ids/data_centre_id.js';
import type {ShardId} from '../ids/shard_id.js';
import type {TargetReport} from '../scheduling/target_report.js';

/**
 * Requests the latest reports of a shard's targets from a state instance.
 */
export interface ListTargetsCall {
  readonly req: {
    readonly dataCentre: DataCentreId;
    /** Absent in versions without shards, which mean all of the data centre. */
    readonly shard?: ShardId;
  };
  readonly res: {readonly reports: readonly TargetReport[]};
}
