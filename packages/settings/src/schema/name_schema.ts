import {z} from 'zod';

/** Longest name of an instance, data centre, region or service. */
export const MAX_NAME_LENGTH = 32;

/**
 * Schema of a name.
 *
 * @description Lower case, digits and dashes, at most 32 characters.
 */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,31}$/,
    'expected a name: a lower-case letter, then up to 31 lower-case letters, digits or dashes',
  );
