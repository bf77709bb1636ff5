import type {JobId} from '../ids/job_id.js';
import type {KindId} from '../ids/kind_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {PlacedTask} from './placed_task.js';
import type {ScheduledStep} from './scheduled_step.js';

/**
 * A job as the instance that accepted it submits it to a scheduler.
 */
export interface ScheduledJob {
  readonly id: JobId;
  readonly kind: KindId;
  readonly service: ServiceId;
  /** Opaque payload, passed unchanged to the targets. */
  readonly spec: string;
  readonly steps: readonly ScheduledStep[];
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job fails. */
  readonly maxAttempts: number;
  /**
   * Factor of the objective for the job's duration, which is `stretch` times
   * the longest chain of tasks plus `slackMs`.
   */
  readonly stretch: number;
  /** Constant part of the objective, in milliseconds. */
  readonly slackMs: number;
  /** Time since the caller submitted the job, in milliseconds. */
  readonly ageMs: number;
  /** Time until the caller stops waiting, in milliseconds. */
  readonly leftMs: number;
  /**
   * Whether the job is admitted even if it will be late. Set on the parts of a
   * split job and on a job that was assigned as a whole by its quotes.
   */
  readonly isPromised: boolean;
  /** Placements by a previous scheduler; absent if there was none. */
  readonly placed?: readonly PlacedTask[];
}
