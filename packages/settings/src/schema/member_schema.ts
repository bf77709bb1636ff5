import * as z from 'zod';
import {nameSchema} from './name_schema.js';

const MAX_PORT = 65_535;

/**
 * Schema of one instance in the member list: its identity and the address at which
 * its peers connect to it.
 */
export const memberSchema = z.strictObject({
  instanceId: nameSchema,
  dataCentre: nameSchema,
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(MAX_PORT),
  /** Whether the instance has a disk and stores a replica of the release log. */
  replica: z.boolean().default(false),
});
