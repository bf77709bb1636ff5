import type {Brand} from '../brand/brand.js';

/** Name of a registration: its instance, the number of its process and its own. */
export type RegistrationId = Brand<string, 'RegistrationId'>;
