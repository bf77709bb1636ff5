import * as z from 'zod';

const MINUTE_MS = 60_000;

/**
 * Schema of the periods and timeouts of an instance, in milliseconds.
 */
export const timingSchema = z.strictObject({
  heartbeatMs: z.number().int().min(20).max(10_000).default(500),
  /** Time without a message from a peer after which it is considered failed. */
  peerTimeoutMs: z.number().int().min(100).max(60_000).default(2_500),
  /** Time without a new announcement after which a target's announcement expires. */
  targetTimeoutMs: z.number().int().min(100).max(60_000).default(3_000),
  /**
   * Time after a start, or after a change of the live instances of the data
   * centre, in which targets may not be known yet. Meanwhile requests for a
   * service without a known target wait for one. Three intervals between two
   * announcements of a target.
   */
  targetDiscoveryMs: z.number().int().min(0).max(60_000).default(3_000),
  /** Lower bound of the election timeout; the upper bound is twice this value. */
  electionTimeoutMs: z.number().int().min(50).max(60_000).default(1_000),
  /**
   * Age of the configuration above which an instance is considered cut off. The
   * age is the time since the configuration was last confirmed as the latest.
   */
  cutOffAfterMs: z.number().int().min(100).max(600_000).default(3_000),
  /** Time during which a request may be retried with the same idempotency key. */
  claimWindowMs: z
    .number()
    .int()
    .min(1_000)
    .max(24 * 60 * MINUTE_MS)
    .default(10 * MINUTE_MS),
  /** Maximum difference between the wall clocks of two instances. */
  clockSkewMs: z
    .number()
    .int()
    .min(0)
    .max(10 * MINUTE_MS)
    .default(MINUTE_MS),
  /** Deadline of a request that does not specify one. */
  defaultDeadlineMs: z
    .number()
    .int()
    .min(1)
    .max(60 * MINUTE_MS)
    .default(30_000),
  /**
   * Time that the load balancer needs to stop routing to an instance that is not
   * ready.
   */
  drainDelayMs: z
    .number()
    .int()
    .min(0)
    .max(10 * MINUTE_MS)
    .default(2_000),
  /** Maximum time that a shutdown waits for requests in progress. */
  drainTimeoutMs: z
    .number()
    .int()
    .min(0)
    .max(60 * MINUTE_MS)
    .default(60_000),
  /** Duration of a worker's lease on a task; renewed every third of this time. */
  taskLeaseMs: z
    .number()
    .int()
    .min(300)
    .max(10 * MINUTE_MS)
    .default(6_000),
});
