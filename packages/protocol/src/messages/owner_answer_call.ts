import type {BootId} from '../ids/boot_id.js';
import type {ClaimId} from '../ids/claim_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * Asks a claim's owner for the outcome, waiting for it if need be.
 */
export interface OwnerAnswerCall {
  readonly req: {
    readonly id: string;
    readonly claimId: ClaimId;
    /** Incarnation that made the claim; another one knows nothing of it. */
    readonly ownerBoot: BootId;
    readonly waitMs: number;
  };
  readonly res:
    | {readonly kind: 'done'; readonly outcome: Outcome}
    | {readonly kind: 'running'}
    /** The claim is still being made. */
    | {readonly kind: 'pending'}
    /** The incarnation that made the claim is gone. */
    | {readonly kind: 'lost'}
    /** That attempt ended, and nothing was started by it. */
    | {readonly kind: 'unknown'};
}
