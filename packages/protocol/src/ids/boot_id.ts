import type {Brand} from '../brand/brand.js';

/**
 * Incarnation of an instance: new at each start, and after a long pause.
 */
export type BootId = Brand<string, 'BootId'>;
