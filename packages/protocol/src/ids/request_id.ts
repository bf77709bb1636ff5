import type {Brand} from '../brand/brand.js';

/**
 * Idempotency key of a request, `dataCentre.generation.seconds.opaque`.
 */
export type RequestId = Brand<string, 'RequestId'>;
