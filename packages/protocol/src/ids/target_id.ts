import type {Brand} from '../brand/brand.js';

/**
 * Name of a target (back end) or worker, unique in its data centre.
 */
export type TargetId = Brand<string, 'TargetId'>;
