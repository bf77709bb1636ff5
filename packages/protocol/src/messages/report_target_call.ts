import type {ShardId} from '../ids/shard_id.js';
import type {TargetReport} from '../scheduling/target_report.js';

/**
 * Forwards a target's report to the scheduler that uses the target.
 */
export interface ReportTargetCall {
  readonly req: {
    readonly report: TargetReport;
    /** Absent in versions without shards, which mean the first one. */
    readonly shard?: ShardId;
  };
  readonly res: {readonly accepted: boolean};
}
