import type {Resources} from '../work/resources.js';

/**
 * A group of identical tasks within a scheduled job.
 */
export interface ScheduledStep {
  readonly count: number;
  /** Index of the first task if the job is split over several schedulers. */
  readonly firstIndex: number;
  /** Resources that each task needs. */
  readonly needs: Resources;
  /** Declared run time of a task, in milliseconds; often very inaccurate. */
  readonly estimateMs: number;
  /** Indexes of the steps that must complete first. */
  readonly after: readonly number[];
  /** Label that a target must have to run the tasks. */
  readonly requiredLabel?: string;
  /** Maximum number of tasks of this step per target; absent if unlimited. */
  readonly maxPerTarget?: number;
}
