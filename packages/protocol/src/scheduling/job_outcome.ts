import type {JobFailure} from './job_failure.js';
import type {JobQuote} from './job_quote.js';
import type {JobRefusal} from './job_refusal.js';
import type {PlacedTask} from './placed_task.js';
import type {RunTimeSample} from './run_time_sample.js';

/**
 * How a scheduler ended a job.
 *
 * @description Only `refused` promises that no task has run or ever will.
 * `handedOver`: the scheduler ends and knows all that it has ordered.
 */
export type JobOutcome =
  | {
      readonly kind: 'completed';
      /** Run times of some of its tasks, for whoever schedules next. */
      readonly samples: readonly RunTimeSample[];
    }
  | {readonly kind: 'failed'; readonly reason: JobFailure}
  | {readonly kind: 'handedOver'; readonly placed: readonly PlacedTask[]}
  | {
      readonly kind: 'refused';
      readonly reason: JobRefusal;
      /** When to come back, in milliseconds. */
      readonly retryAfterMs: number;
      /** When its tasks would end here; the job may still be split. */
      readonly quote: JobQuote;
    };
