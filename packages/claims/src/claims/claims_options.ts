import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  DataCentreId,
  EventLog,
  PeerNetwork,
} from '@papayarun/protocol';
import type {ClaimView} from '@papayarun/releases';
import type {ClaimTable} from '../claim_table/claim_table.js';
import type {ViewMembership} from '../view_membership/view_membership.js';

/**
 * Dependencies and time limits of claims.
 */
export interface ClaimsOptions {
  readonly dataCentre: DataCentreId;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: ClaimTable;
  readonly viewMembership: ViewMembership;
  /** Claim view of the data centre, if there is one yet. */
  readonly view: () => ClaimView | undefined;
  /** Age from which an id is rejected as expired, in milliseconds. */
  readonly claimWindowMs: number;
  /** How far in the future the time in an id may be, in milliseconds. */
  readonly clockSkewMs: number;
  /**
   * Time during which a claim that could not be recorded on all members is
   * tried again, for example while the view changes, in milliseconds.
   */
  readonly claimTimeoutMs: number;
  /** Generates the unique id of an attempt to claim. */
  readonly makeClaimId: () => string;
}
