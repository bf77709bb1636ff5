import {z} from 'zod';

const MINUTE_MS = 60_000;

/**
 * Schema of the periods and timeouts.
 */
export const timingSchema = z.strictObject({
  heartbeatMs: z.number().int().min(20).max(10_000).default(500),
  /** Silence after which a peer counts as dead. */
  peerTimeoutMs: z.number().int().min(100).max(60_000).default(2_500),
  /** Silence after which a target's announcement expires. */
  targetTimeoutMs: z.number().int().min(100).max(60_000).default(3_000),
  /** Lower bound of the election timeout; the upper one is twice as much. */
  electionTimeoutMs: z.number().int().min(50).max(60_000).default(1_000),
  /** Age of the configuration from which an instance counts as cut off. */
  cutOffAfterMs: z.number().int().min(100).max(600_000).default(3_000),
  /** Time for which a key may be sent again. */
  claimWindowMs: z
    .number()
    .int()
    .min(1_000)
    .max(24 * 60 * MINUTE_MS)
    .default(10 * MINUTE_MS),
  /** Largest difference between two instances' wall clocks. */
  clockSkewMs: z
    .number()
    .int()
    .min(0)
    .max(10 * MINUTE_MS)
    .default(MINUTE_MS),
  /** Deadline of a request that declares none. */
  defaultDeadlineMs: z
    .number()
    .int()
    .min(1)
    .max(60 * MINUTE_MS)
    .default(30_000),
  /** Time that the balancer needs to stop sending to an unready instance. */
  drainDelayMs: z
    .number()
    .int()
    .min(0)
    .max(10 * MINUTE_MS)
    .default(2_000),
  /** Longest wait for requests in progress during a shutdown. */
  drainTimeoutMs: z
    .number()
    .int()
    .min(0)
    .max(60 * MINUTE_MS)
    .default(60_000),
  /** Lease of a task at a worker; renewed at a third of it. */
  taskLeaseMs: z
    .number()
    .int()
    .min(300)
    .max(10 * MINUTE_MS)
    .default(6_000),
});
