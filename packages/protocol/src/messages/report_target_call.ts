import type {TargetReport} from '../scheduling/target_report.js';

/**
 * Passes a target's report on to the scheduler that uses the target.
 */
export interface ReportTargetCall {
  readonly req: {readonly report: TargetReport};
  readonly res: {readonly accepted: boolean};
}
