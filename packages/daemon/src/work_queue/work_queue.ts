import type {KindId, ServiceId} from '@papayarun/protocol';

/**
 * A queue of jobs in the current configuration.
 */
export interface WorkQueue {
  readonly kind: KindId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: ServiceId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /**
   * The time objective of a job is `stretch` times the expected duration of its
   * longest chain of steps, plus `slackMs`.
   */
  readonly stretch: number;
  readonly slackMs: number;
  /** Longest time until the response to the caller, in milliseconds. */
  readonly timeoutMs: number;
}
