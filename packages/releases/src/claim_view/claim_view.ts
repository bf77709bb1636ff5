import type {DataCentreId} from '@papayarun/protocol';
import type {JoinedMember} from './joined_member.js';

/**
 * Members that store the claims of a data centre; each stores every claim.
 */
export interface ClaimView {
  readonly dataCentre: DataCentreId;
  /** Increases with every change of the members. */
  readonly epoch: number;
  /**
   * Increases when the claims are lost. Ids of earlier generations are never
   * started.
   */
  readonly generation: number;
  /** Epoch that opened the generation, at which there were no claims. */
  readonly openedAtEpoch: number;
  readonly members: readonly JoinedMember[];
}
