import type {Brand} from '../brand/brand.js';

/**
 * Id of one attempt to claim a request or job id.
 */
export type ClaimId = Brand<string, 'ClaimId'>;
