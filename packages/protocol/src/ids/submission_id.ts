import type {Brand} from '../brand/brand.js';

/**
 * Name of one submission of a job, or of a part of it, to a scheduler. A job that
 * its caller sends again is another submission.
 */
export type SubmissionId = Brand<string, 'SubmissionId'>;
