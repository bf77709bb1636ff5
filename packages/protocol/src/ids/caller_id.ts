import type {Brand} from '../brand/brand.js';

/**
 * Name of a caller (client), as declared by the caller.
 */
export type CallerId = Brand<string, 'CallerId'>;
