import type {JobRegistration} from './job_registration.js';
import type {RegisteredJob} from './registered_job.js';

/**
 * Registers a job at a state instance before it is submitted to a scheduler, so
 * that no copy of it runs elsewhere at the same time. Versions before it answer
 * that the call is unknown.
 */
export interface RegisterJobCall {
  readonly req: RegisteredJob & {
    /** Longest wait for a process that has the job, in milliseconds. */
    readonly waitMs: number;
  };
  readonly res: {readonly registration: JobRegistration};
}
