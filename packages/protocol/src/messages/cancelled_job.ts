import type {JobId} from '../ids/job_id.js';

/**
 * Job that its caller has cancelled, and that must not start any more.
 */
export interface CancelledJob {
  readonly jobId: JobId;
  /** Time for which a copy of the job is still refused, in milliseconds. */
  readonly forMs: number;
}
