import type {Brand} from '../brand/brand.js';

/**
 * Id of an incarnation of an instance; renewed at each start and after a long
 * pause of the process.
 */
export type BootId = Brand<string, 'BootId'>;
