import type {ClaimId} from '../ids/claim_id.js';

/**
 * Withdraws a claim whose work has certainly not run.
 */
export interface ReleaseClaimCall {
  readonly req: {readonly id: string; readonly claimId: ClaimId};
  readonly res: {readonly ok: boolean};
}
