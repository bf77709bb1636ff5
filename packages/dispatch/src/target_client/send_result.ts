import type {Outcome} from '@papayarun/protocol';

/**
 * Result of one send to a target.
 */
export interface SendResult {
  readonly outcome: Outcome;
  /** How the send ended, for retries and the health of the target. */
  readonly resultKind:
    'succeeded' | 'failed' | 'unreachable' | 'busy' | 'cancelled';
  /** Time from the start of the send to its end, in milliseconds. */
  readonly runMs: number;
}
