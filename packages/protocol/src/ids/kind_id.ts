import type {Brand} from '../brand/brand.js';

/**
 * Kind of work (traffic class) with a share of its own.
 */
export type KindId = Brand<string, 'KindId'>;
