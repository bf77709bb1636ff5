import type {Brand} from '../brand/brand.js';

/**
 * Name of a data centre (availability zone).
 */
export type DataCentreId = Brand<string, 'DataCentreId'>;
