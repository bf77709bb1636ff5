import type {BootId} from '../ids/boot_id.js';
import type {ClaimId} from '../ids/claim_id.js';
import type {InstanceId} from '../ids/instance_id.js';
import type {Outcome} from '../work/outcome.js';

/**
 * A claim: the exclusive right of an instance to start the work with an id.
 */
export interface ClaimRecord {
  /** Request or job id. */
  readonly id: string;
  readonly claimId: ClaimId;
  readonly owner: InstanceId;
  readonly ownerBoot: BootId;
  /** Fingerprint of the content; distinguishes a retry from reuse of the id. */
  readonly fingerprint: string;
  readonly outcome?: Outcome;
  /**
   * Whether the work has ended with an answer that is not stored here. Absent
   * in records of version 1, whose readers take such a claim for one without an
   * outcome.
   */
  readonly isAnswerGone?: boolean;
  /** Version of the record: 2 if it has `isAnswerGone`, absent in version 1. */
  readonly version?: 2;
}
