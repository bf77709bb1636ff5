import type {ClaimId} from '../ids/claim_id.js';

/**
 * Releases a claim whose work has definitely not run.
 */
export interface ReleaseClaimCall {
  readonly req: {readonly id: string; readonly claimId: ClaimId};
  readonly res: {readonly ok: boolean};
}
