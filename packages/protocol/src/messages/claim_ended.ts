import type {ClaimId} from '../ids/claim_id.js';

/**
 * Tells the other members of the claim view that claimed work has run, and that
 * its owner alone has the answer.
 */
export interface ClaimEnded {
  readonly id: string;
  readonly claimId: ClaimId;
}
