import type {JobId} from '../ids/job_id.js';
import type {SubmissionId} from '../ids/submission_id.js';

/**
 * Submission of a job to a scheduler, whose runs may go on.
 */
export interface InFlightJob {
  readonly jobId: JobId;
  readonly submissionId: SubmissionId;
  /** Time for which they may go on, in milliseconds; 0 if they have ended. */
  readonly forMs: number;
}
