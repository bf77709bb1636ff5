import {jsonSchema} from '@papayarun/protocol';
import * as z from 'zod';

/**
 * Schema of the choices that a customer makes among the behaviours.
 */
export const preferencesSchema = z.strictObject({
  choices: z.record(z.string(), z.unknown()).and(jsonSchema),
});
