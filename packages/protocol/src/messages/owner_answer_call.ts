import type {ClaimId} from '../ids/claim_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * Asks a claim's owner for the outcome, waiting for it if need be.
 */
export interface OwnerAnswerCall {
  readonly req: {
    readonly id: string;
    readonly claimId: ClaimId;
    readonly waitMs: number;
  };
  readonly res:
    | {readonly kind: 'done'; readonly outcome: Outcome}
    | {readonly kind: 'running'}
    /** The claim is still being made. */
    | {readonly kind: 'pending'}
    /** That attempt ended, and nothing was started by it. */
    | {readonly kind: 'unknown'};
}
