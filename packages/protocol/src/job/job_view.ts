import type {JobId} from '../ids/job_id.js';
import type {Refusal} from '../refusal/refusal.js';

/**
 * State of a job as returned to callers: either all answers or none.
 */
export type JobView =
  | {
      readonly state: 'running';
      readonly id: JobId;
      readonly tasks: number;
      readonly finished: number;
    }
  | {
      readonly state: 'complete';
      readonly id: JobId;
      readonly release: number;
      /** One answer per task, in the order of submission. */
      readonly answers: readonly unknown[];
    }
  | {readonly state: 'failed'; readonly id: JobId; readonly refusal: Refusal};
