import type {z} from 'zod';
import type {settingsSchema} from '../schema/settings_schema.js';

/**
 * Validated settings of an instance, with defaults for all omitted fields.
 */
export type Settings = z.infer<typeof settingsSchema>;
