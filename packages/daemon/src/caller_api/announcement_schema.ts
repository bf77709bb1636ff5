import type {Announcement} from '@papayarun/protocol';
import {z} from 'zod';

const MAX_SLOTS = 10_000;
const MAX_CORES = 4_096;
const MAX_MEMORY_MB = 64 * 1024 * 1024;
const MAX_ACCELERATORS = 1_024;

const name = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/,
    'expected a name of at most 64 characters',
  );
const resources = z.strictObject({
  cores: z.number().min(0).max(MAX_CORES),
  memoryMb: z.number().min(0).max(MAX_MEMORY_MB),
  accelerators: z.number().int().min(0).max(MAX_ACCELERATORS),
});

/**
 * Schema of what targets and workers announce.
 */
export const announcementSchema = z.strictObject({
  targetId: name,
  boot: name,
  seq: z.number().int().min(0),
  state: z.enum(['ready', 'leaving']),
  service: z
    .string()
    .regex(/^[a-z][a-z0-9-]{0,31}$/, 'expected a service name'),
  url: z.url({protocol: /^http$/}),
  slots: z.number().int().min(1).max(MAX_SLOTS),
  connections: z.number().int().min(1).max(MAX_SLOTS),
  worker: z
    .strictObject({rack: name, total: resources, used: resources})
    .optional(),
}) as unknown as z.ZodType<Announcement>;
