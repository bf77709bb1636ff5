import type {z} from 'zod';
import type {settingsSchema} from '../schema/settings_schema.js';

/**
 * Checked settings of an instance, with all defaults filled in.
 */
export type Settings = z.infer<typeof settingsSchema>;
