import type {JobFailure} from './job_failure.js';
import type {JobRefusal} from './job_refusal.js';

/**
 * How a scheduler ended a job.
 *
 * @description Only `refused` promises that no task has run or ever will.
 */
export type JobOutcome =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'; readonly reason: JobFailure}
  | {
      readonly kind: 'refused';
      readonly reason: JobRefusal;
      /** When to come back, in milliseconds. */
      readonly retryAfterMs: number;
    };
