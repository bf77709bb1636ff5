import type {JobId} from '../ids/job_id.js';
import type {RegistrationId} from '../ids/registration_id.js';
import type {JobEnd} from './job_end.js';

/**
 * Registration of a job that has ended.
 */
export interface ReleasedJob {
  readonly jobId: JobId;
  readonly registrationId: RegistrationId;
  /** How the job has ended; absent if it may run again. */
  readonly end?: JobEnd;
}
