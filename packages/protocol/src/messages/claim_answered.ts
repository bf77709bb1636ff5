import type {ClaimId} from '../ids/claim_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * Sends the outcome of claimed work to the other members of the claim view.
 */
export interface ClaimAnswered {
  readonly id: string;
  readonly claimId: ClaimId;
  readonly outcome: Outcome;
}
