import {z} from 'zod';

const MAX_WEIGHT = 1_000;
const MIN_WEIGHT = 0.01;
const MAX_BEHAVIOUR_BYTES = 8_192;

const fraction = z
  .number()
  .gt(0, 'expected a part above 0')
  .max(1, 'expected at most 1');

/**
 * Schemas of the values that a release can hold, by the category of the name.
 */
export const entrySchemas = {
  /** Kind of work: its guaranteed share, relative to the other kinds. */
  kind: z.strictObject({weight: z.number().min(MIN_WEIGHT).max(MAX_WEIGHT)}),
  /** Team: largest part of a service's slots it may hold. */
  team: z.strictObject({fraction}),
  /** Caller: largest part of a service's slots it may hold. */
  caller: z.strictObject({fraction}),
  /** Service: whether it is served while the configuration can't be confirmed. */
  service: z.strictObject({whenCutOff: z.enum(['serve', 'refuse'])}),
  /** Behaviour that customers meet: any JSON up to 8 KiB. */
  behaviour: z
    .json()
    .refine(
      value => JSON.stringify(value).length <= MAX_BEHAVIOUR_BYTES,
      `expected at most ${MAX_BEHAVIOUR_BYTES} bytes of JSON`,
    ),
} as const;
