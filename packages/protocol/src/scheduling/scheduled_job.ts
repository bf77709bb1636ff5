import type {JobId} from '../ids/job_id.js';
import type {KindId} from '../ids/kind_id.js';
import type {ServiceId} from '../ids/service_id.js';
import type {PlacedTask} from './placed_task.js';
import type {ScheduledStep} from './scheduled_step.js';

/**
 * A job as its entry hands it to a scheduler.
 */
export interface ScheduledJob {
  readonly id: JobId;
  readonly kind: KindId;
  readonly service: ServiceId;
  /** Passed to the targets as it is. */
  readonly spec: string;
  readonly steps: readonly ScheduledStep[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs of a task after which the job has failed. */
  readonly maxAttempts: number;
  /** The objective is `stretch` times the longest chain, and `slackMs` more. */
  readonly stretch: number;
  readonly slackMs: number;
  /** Time since the caller sent it, in milliseconds. */
  readonly ageMs: number;
  /** Time until the caller stops waiting, in milliseconds. */
  readonly leftMs: number;
  /** Whether it is taken even if it will be late, as a part of a split job. */
  readonly isPromised: boolean;
  /** What an earlier scheduler had ordered; absent if there was none. */
  readonly placed?: readonly PlacedTask[];
}
