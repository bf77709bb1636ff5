import type {Outcome} from '@papayarun/protocol';

/**
 * What came of one send to a target.
 */
export interface SendResult {
  readonly outcome: Outcome;
  /** What it says about the target. */
  readonly sign: 'succeeded' | 'failed' | 'unreachable' | 'busy' | 'cancelled';
  /** Time from the send to the end, in milliseconds. */
  readonly runMs: number;
}
