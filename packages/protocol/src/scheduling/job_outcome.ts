import type {JobFailure} from './job_failure.js';
import type {JobQuote} from './job_quote.js';
import type {JobRefusal} from './job_refusal.js';
import type {PlacedTask} from './placed_task.js';
import type {RunTimeSample} from './run_time_sample.js';

/**
 * Outcome of a job at a scheduler.
 *
 * @description Only `refused` guarantees that no task has run or will run.
 * `handedOver`: the scheduler gives up its role; `placed` lists every task that
 * it has placed.
 */
export type JobOutcome =
  | {
      readonly kind: 'completed';
      /** Run times of some tasks, for the estimates of the next schedulers. */
      readonly samples: readonly RunTimeSample[];
    }
  | {
      readonly kind: 'failed';
      readonly reason: JobFailure;
      /** Whether runs may go on; absent in versions that don't say so. */
      readonly mayRun?: boolean;
    }
  | {readonly kind: 'handedOver'; readonly placed: readonly PlacedTask[]}
  | {
      readonly kind: 'refused';
      readonly reason: JobRefusal;
      /** Delay before the caller should retry, in milliseconds. */
      readonly retryAfterMs: number;
      /** When its tasks would end at this scheduler; used to split the job. */
      readonly quote: JobQuote;
    };
