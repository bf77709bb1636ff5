import type {Clock} from '@papayarun/protocol';

/**
 * Dependencies and limits of a target client.
 */
export interface TargetClientOptions {
  readonly clock: Clock;
  readonly maxAnswerBytes: number;
  readonly connectTimeoutMs: number;
  /** Duration of the lease of a task at a worker, in milliseconds. */
  readonly taskLeaseMs: number;
}
