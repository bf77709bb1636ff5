import type {Brand} from '../brand/brand.js';

/**
 * Name of a team (tenant) with a quota.
 */
export type TeamId = Brand<string, 'TeamId'>;
