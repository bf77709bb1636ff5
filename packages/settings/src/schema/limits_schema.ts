import * as z from 'zod';

const MIB = 1024 * 1024;

/**
 * Schema of an instance's resource limits.
 */
export const limitsSchema = z.strictObject({
  /** Maximum size of a request body, in bytes. */
  requestBodyBytes: z
    .number()
    .int()
    .min(1)
    .max(64 * MIB)
    .default(MIB),
  /** Maximum size of a target's response body, in bytes. */
  answerBodyBytes: z
    .number()
    .int()
    .min(1)
    .max(64 * MIB)
    .default(4 * MIB),
  /** Maximum size of one message between instances, in bytes. */
  peerFrameBytes: z
    .number()
    .int()
    .min(64 * 1024)
    .max(256 * MIB)
    .default(32 * MIB),
  /** Maximum number of requests queued at one instance, across all kinds. */
  queuedRequests: z.number().int().min(1).max(1_000_000).default(20_000),
  /**
   * Maximum number of open connections on the callers listener. The operators
   * listener has the same limit.
   */
  callerConnections: z.number().int().min(1).max(100_000).default(10_000),
  /**
   * Memory of the machine, in MiB; an eighth of it, and at least eight times
   * `requestBodyBytes`, is for the bodies of requests in progress.
   */
  memoryMb: z.number().int().min(64).max(1_048_576).default(1_024),
  /** Maximum number of claims that one instance stores. */
  claims: z.number().int().min(1_000).max(50_000_000).default(1_000_000),
  /** Maximum total size of stored responses for retried requests, in bytes. */
  keptAnswerBytes: z
    .number()
    .int()
    .min(0)
    .max(4096 * MIB)
    .default(64 * MIB),
  /** Maximum number of tasks in a job. */
  jobTasks: z.number().int().min(1).max(10_000).default(420),
});
