import {z} from 'zod';

const MIB = 1024 * 1024;

/**
 * Schema of the bounds an instance keeps.
 */
export const limitsSchema = z.strictObject({
  /** Bytes of a request's body. */
  requestBodyBytes: z
    .number()
    .int()
    .min(1)
    .max(64 * MIB)
    .default(MIB),
  /** Bytes of a target's answer. */
  answerBodyBytes: z
    .number()
    .int()
    .min(1)
    .max(64 * MIB)
    .default(4 * MIB),
  /** Bytes of one message between instances. */
  peerFrameBytes: z
    .number()
    .int()
    .min(64 * 1024)
    .max(256 * MIB)
    .default(32 * MIB),
  /** Requests that wait at one instance, over all kinds. */
  queuedRequests: z.number().int().min(1).max(1_000_000).default(20_000),
  /** Connections of callers. */
  callerConnections: z.number().int().min(1).max(100_000).default(10_000),
  /** Claims that one instance remembers. */
  claims: z.number().int().min(1_000).max(50_000_000).default(1_000_000),
  /** Bytes of answers kept for requests that are sent again. */
  keptAnswerBytes: z
    .number()
    .int()
    .min(0)
    .max(4096 * MIB)
    .default(64 * MIB),
  /** Tasks in a job. */
  jobTasks: z.number().int().min(1).max(10_000).default(420),
});
