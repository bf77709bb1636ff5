import type {Brand} from '../brand/brand.js';

/**
 * Idempotency key of a job, in the same format as a request id.
 */
export type JobId = Brand<string, 'JobId'>;
