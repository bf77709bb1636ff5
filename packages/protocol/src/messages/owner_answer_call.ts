import type {BootId} from '../ids/boot_id.js';
import type {ClaimId} from '../ids/claim_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * Requests the outcome from a claim's owner, waiting up to `waitMs` for it.
 */
export interface OwnerAnswerCall {
  readonly req: {
    readonly id: string;
    readonly claimId: ClaimId;
    /** Incarnation that made the claim; no other one has a record of it. */
    readonly ownerBoot: BootId;
    readonly waitMs: number;
    /** Version of refusals that the asking instance understands; absent in 1. */
    readonly refusalVersion?: number;
  };
  readonly res:
    | {readonly kind: 'done'; readonly outcome: Outcome}
    | {readonly kind: 'running'}
    /** The claim is still being made. */
    | {readonly kind: 'pending'}
    /** The incarnation that made the claim no longer exists. */
    | {readonly kind: 'lost'}
    /** The claim attempt ended without starting any work. */
    | {readonly kind: 'unknown'};
}
