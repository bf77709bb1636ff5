import type {InstanceId} from '../ids/instance_id.js';
import type {JobId} from '../ids/job_id.js';
import type {CancelledJob} from './cancelled_job.js';

/**
 * Cancels jobs at an entry instance, or, at a state instance, at all entry
 * instances that it knows. Versions before it answer that the call is unknown,
 * which counts as not confirmed.
 */
export interface CancelJobsCall {
  readonly req: {readonly jobs: readonly CancelledJob[]};
  readonly res: {
    /** False if the receiver has no room to remember the jobs. */
    readonly accepted: boolean;
    /** Those of the jobs that were in progress. */
    readonly found: readonly JobId[];
    /** Entry instances that have confirmed to a state instance. */
    readonly confirmed: readonly InstanceId[];
    /** Entry instances that may run and have not confirmed to it. */
    readonly unconfirmed: readonly InstanceId[];
  };
}
