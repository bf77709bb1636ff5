import type {KindId, ServiceId} from '@papayarun/protocol';

/**
 * A queue of jobs in the configuration in force.
 */
export interface WorkQueue {
  readonly kind: KindId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: ServiceId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The objective is `stretch` times the longest chain, and `slackMs` more. */
  readonly stretch: number;
  readonly slackMs: number;
  /** Longest time for an answer, in milliseconds. */
  readonly timeoutMs: number;
}
