import {jsonSchema} from '@papayarun/protocol';
import * as z from 'zod';

const MAX_WEIGHT = 1_000;
const MIN_WEIGHT = 0.01;
const MAX_BEHAVIOUR_BYTES = 8_192;

const fraction = z
  .number()
  .gt(0, 'expected a fraction greater than 0')
  .max(1, 'expected at most 1');

/**
 * Schemas of the values of entries, by the category in the entry's name.
 */
export const entrySchemas = {
  /** Kind of work: weight of its guaranteed share relative to other kinds. */
  kind: z.strictObject({weight: z.number().min(MIN_WEIGHT).max(MAX_WEIGHT)}),
  /** Team: largest fraction of a service's slots that it may use. */
  team: z.strictObject({fraction}),
  /** Caller: largest fraction of a service's slots that it may use. */
  caller: z.strictObject({fraction}),
  /**
   * Service: whether its requests are served while the configuration cannot be
   * confirmed as the latest.
   */
  service: z.strictObject({whenCutOff: z.enum(['serve', 'refuse'])}),
  /** Behaviour for customers: any JSON value of at most 8 KiB. */
  behaviour: jsonSchema.refine(
    value => Buffer.byteLength(JSON.stringify(value)) <= MAX_BEHAVIOUR_BYTES,
    {message: `expected at most ${MAX_BEHAVIOUR_BYTES} bytes of JSON`},
  ),
} as const;
