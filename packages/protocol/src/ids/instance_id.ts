import type {Brand} from '../brand/brand.js';

/**
 * Name of one instance, unique over all data centres and stable over restarts.
 */
export type InstanceId = Brand<string, 'InstanceId'>;
