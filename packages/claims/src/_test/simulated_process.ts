import type {Membership} from '@papayarun/membership';
import type {ControlState} from '@papayarun/releases';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import type {ClaimTable} from '../claim_table/claim_table.js';
import type {Claims} from '../claims/claims.js';
import type {ViewMembership} from '../view_membership/view_membership.js';

/**
 * One simulated process of an instance, from its start to its crash.
 */
export interface SimulatedProcess {
  readonly end: MemoryNetworkEnd;
  readonly claims: Claims;
  readonly table: ClaimTable;
  readonly membership: Membership;
  readonly viewMembership: ViewMembership;
  readonly stop: () => void;
  /** Leaves the claim view, as before an orderly end. */
  readonly leave: () => Promise<void>;
  state: ControlState;
  /** Index of the log of which `state` is the result. */
  stateIndex: number;
  isUp: boolean;
  isDraining: boolean;
  canReachLog: boolean;
}
