import type {BootId} from '../ids/boot_id.js';
import type {ClaimId} from '../ids/claim_id.js';
import type {InstanceId} from '../ids/instance_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * A claim: who may start the work with this id.
 */
export interface ClaimRecord {
  /** Request or job id. */
  readonly id: string;
  readonly claimId: ClaimId;
  readonly owner: InstanceId;
  readonly ownerBoot: BootId;
  /** Tells the same content sent again from another one. */
  readonly fingerprint: string;
  readonly outcome?: Outcome;
}
