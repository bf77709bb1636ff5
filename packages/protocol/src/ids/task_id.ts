import type {Brand} from '../brand/brand.js';

/**
 * Name of one task of a job, unique across all jobs.
 */
export type TaskId = Brand<string, 'TaskId'>;
