import type {JobId} from '../ids/job_id.js';
import type {RegistrationId} from '../ids/registration_id.js';

/**
 * Job that a process of an entry instance runs or wants to run.
 */
export interface RegisteredJob {
  readonly jobId: JobId;
  readonly registrationId: RegistrationId;
  /** Time by which its runs have ended, in milliseconds from now. */
  readonly endsWithinMs: number;
  /**
   * Time after the loss of the entry instance by which its runs have ended, in
   * milliseconds.
   */
  readonly runsEndAfterLossMs: number;
}
