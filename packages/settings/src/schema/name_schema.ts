import * as z from 'zod';

/**
 * Maximum length of the name of an instance, data centre, region or service, in
 * characters.
 */
export const MAX_NAME_LENGTH = 32;

/**
 * Schema of the name of an instance, data centre, region or service.
 *
 * @description A name starts with a lower-case letter, continues with lower-case
 * letters, digits or dashes, and has at most 32 characters.
 */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,31}$/,
    'expected a name: a lower-case letter, then up to 31 lower-case letters, digits or dashes',
  );
