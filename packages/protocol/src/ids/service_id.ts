import type {Brand} from '../brand/brand.js';

/**
 * Name of a service that targets offer.
 */
export type ServiceId = Brand<string, 'ServiceId'>;
