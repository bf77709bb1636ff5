import type {Brand} from '../brand/brand.js';

/**
 * Name of a caller (client) as it declares itself.
 */
export type CallerId = Brand<string, 'CallerId'>;
