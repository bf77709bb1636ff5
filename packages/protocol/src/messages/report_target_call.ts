import type {TargetReport} from '../scheduling/target_report.js';

/**
 * Forwards a target's report to the scheduler that uses the target.
 */
export interface ReportTargetCall {
  readonly req: {readonly report: TargetReport};
  readonly res: {readonly accepted: boolean};
}
