import type {ClaimId} from '../ids/claim_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * Tells the other members how claimed work ended.
 */
export interface ClaimAnswered {
  readonly id: string;
  readonly claimId: ClaimId;
  readonly outcome: Outcome;
}
