import type {Brand} from '../brand/brand.js';

/**
 * Idempotency key of a job, in the same form as a request id.
 */
export type JobId = Brand<string, 'JobId'>;
