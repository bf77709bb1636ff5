import type {DataCentreId} from '@papayarun/protocol';
import type {SeatedMember} from './seated_member.js';

/**
 * Who holds a data centre's claims: each claim is on all of these members.
 */
export interface ClaimView {
  readonly dataCentre: DataCentreId;
  /** Rises with every change of the members. */
  readonly epoch: number;
  /** Rises when the claims were lost; ids of earlier ones are never started. */
  readonly generation: number;
  /** Epoch that opened the generation, with no claims. */
  readonly openedAtEpoch: number;
  readonly members: readonly SeatedMember[];
}
