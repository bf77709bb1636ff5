import type {Brand} from '../brand/brand.js';

/**
 * Name of an instance, unique across all data centres and stable across
 * restarts.
 */
export type InstanceId = Brand<string, 'InstanceId'>;
