import {z} from 'zod';
import {nameSchema} from './name_schema.js';

const MAX_PORT = 65_535;

/**
 * Schema of one instance of the system, as its peers reach it.
 */
export const memberSchema = z.strictObject({
  instanceId: nameSchema,
  dataCentre: nameSchema,
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(MAX_PORT),
  /** Whether it has a disk and holds a replica of the release log. */
  replica: z.boolean().default(false),
});
