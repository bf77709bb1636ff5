import {jsonSchema} from '@papayarun/protocol';
import * as z from 'zod';

const MAX_CORES = 4_096;
const MAX_MEMORY_MB = 64 * 1024 * 1024;
const MAX_ACCELERATORS = 1_024;
const MAX_RUN_MS = 3_600_000;
const MAX_URGENCY = 3;

const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,63}$/,
    'expected a lower-case name of at most 64 characters',
  );

/**
 * Creates the schema of a submitted job.
 *
 * @param maxTasks - Maximum number of tasks in a job.
 * @param defaultDeadlineMs - Deadline of a job that declares none, in ms.
 * @returns The schema.
 * @throws Never.
 * @example
 * const spec = parseJson(req.body, jobSpecSchema(420, 30_000));
 */
export function jobSpecSchema(maxTasks: number, defaultDeadlineMs: number) {
  return z.strictObject({
    id: z.string(),
    service: nameSchema,
    kind: nameSchema.default('default'),
    caller: nameSchema.default('anonymous'),
    team: nameSchema.default('default'),
    urgency: z.number().int().min(0).max(MAX_URGENCY).default(1),
    deadlineMs: z
      .number()
      .int()
      .min(1)
      .max(MAX_RUN_MS)
      .default(defaultDeadlineMs),
    tasks: z
      .array(
        z.strictObject({
          needs: z.strictObject({
            cores: z.number().min(0).max(MAX_CORES),
            memoryMb: z.number().min(0).max(MAX_MEMORY_MB),
            accelerators: z
              .number()
              .int()
              .min(0)
              .max(MAX_ACCELERATORS)
              .default(0),
          }),
          runMs: z.number().min(0).max(MAX_RUN_MS).default(0),
          input: jsonSchema.default(null),
        }),
      )
      .min(1)
      .max(maxTasks),
  });
}
