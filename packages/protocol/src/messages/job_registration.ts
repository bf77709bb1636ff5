import type {JobEnd} from './job_end.js';

/**
 * Answer to the registration of a job.
 *
 * @description `granted`: no other process has the job, and later registrations
 * wait for this one. `held`: another process still has it. `ended`: the job has
 * ended before and must not run again.
 */
export type JobRegistration =
  | {readonly kind: 'granted'}
  | {readonly kind: 'held'}
  | {readonly kind: 'ended'; readonly end: JobEnd};
