import type {Clock} from '@papayarun/protocol';

/**
 * Bounds of the connections to targets.
 */
export interface TargetClientOptions {
  readonly clock: Clock;
  readonly maxAnswerBytes: number;
  readonly connectTimeoutMs: number;
  /** Lease of a task at a worker, in milliseconds. */
  readonly taskLeaseMs: number;
}
