import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  DataCentreId,
  EventLog,
  PeerNetwork,
} from '@papayarun/protocol';
import type {ClaimView} from '@papayarun/releases';
import type {ClaimTable} from '../claim_table/claim_table.js';
import type {Seat} from '../seat/seat.js';

/**
 * What claims need.
 */
export interface ClaimsOptions {
  readonly dataCentre: DataCentreId;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: ClaimTable;
  readonly seat: Seat;
  readonly view: () => ClaimView | undefined;
  readonly windowMs: number;
  readonly clockSkewMs: number;
  /** Longest wait for a claim on all members, as while the view changes. */
  readonly claimTimeoutMs: number;
  /** Makes an identity for an attempt to claim. */
  readonly makeClaimId: () => string;
}
