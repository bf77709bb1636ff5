import type {Announcement} from '@papayarun/protocol';
import * as z from 'zod';

const MAX_SLOTS = 10_000;
const MAX_CORES = 4_096;
const MAX_MEMORY_MB = 64 * 1024 * 1024;
const MAX_ACCELERATORS = 1_024;

const nameSchema = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/,
    'expected a name of at most 64 characters',
  );
const resourcesSchema = z.strictObject({
  cores: z.number().min(0).max(MAX_CORES),
  memoryMb: z.number().min(0).max(MAX_MEMORY_MB),
  accelerators: z.number().int().min(0).max(MAX_ACCELERATORS),
});

/**
 * Schema of the announcement that a target or worker posts.
 */
export const announcementSchema = z.strictObject({
  targetId: nameSchema,
  boot: nameSchema,
  seq: z.number().int().min(0),
  state: z.enum(['ready', 'leaving']),
  service: z
    .string()
    .regex(
      /^[a-z][a-z0-9-]{0,31}$/,
      'expected a lower-case service name of at most 32 characters',
    ),
  url: z.url({protocol: /^http$/}),
  slots: z.number().int().min(1).max(MAX_SLOTS),
  connections: z.number().int().min(1).max(MAX_SLOTS),
  worker: z
    .strictObject({
      rack: nameSchema,
      total: resourcesSchema,
      used: resourcesSchema,
    })
    .optional(),
}) as unknown as z.ZodType<Announcement>;
