import type {Resources} from '../work/resources.js';

/**
 * Tasks of one kind within a scheduled job.
 */
export interface ScheduledStep {
  readonly count: number;
  /** Index of the first task, where a job is split over schedulers. */
  readonly firstIndex: number;
  /** Needs of each task. */
  readonly needs: Resources;
  /** Declared run time of a task, in milliseconds; often far off. */
  readonly estimateMs: number;
  /** Numbers of the steps that must be done first. */
  readonly after: readonly number[];
  /** Label that the target must have. */
  readonly requiredLabel?: string;
  /** Most tasks of this step on one target; absent for no bound. */
  readonly maxPerTarget?: number;
}
