import type {JobId} from '../ids/job_id.js';
import type {JobSpec} from './job_spec.js';

/**
 * Command of a caller on a job.
 */
export type JobCommand =
  | {readonly kind: 'submit'; readonly spec: JobSpec; readonly waitMs: number}
  | {readonly kind: 'show'; readonly id: JobId; readonly waitMs: number}
  | {readonly kind: 'cancel'; readonly id: JobId};
