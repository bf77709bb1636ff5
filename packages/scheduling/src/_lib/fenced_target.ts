import type {TargetReport, TaskId} from '@papayarun/protocol';
import type {RunRecord} from './run_record.js';

/**
 * Session with a target that has seen a higher fencing token.
 */
export interface FencedTarget<R extends RunRecord = RunRecord> {
  readonly report: TargetReport;
  readonly runs: ReadonlyMap<TaskId, R>;
}
