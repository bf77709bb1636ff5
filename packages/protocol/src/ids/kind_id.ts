import type {Brand} from '../brand/brand.js';

/**
 * Kind of work (traffic class) with its own share of capacity.
 */
export type KindId = Brand<string, 'KindId'>;
