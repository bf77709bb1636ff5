import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  DataCentreId,
  EventLog,
  Outcome,
  PeerNetwork,
  Work,
} from '@papayarun/protocol';
import type {Keeper} from '../keeper/keeper.js';
import type {Policy} from '../policy/policy.js';

/**
 * What a router needs.
 */
export interface RouterOptions {
  readonly dataCentre: DataCentreId;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly keeper: Keeper;
  readonly policy: Policy;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Extra routes for each first one, for repeatable work whose keeper was lost. */
  readonly retryRatio: number;
  /** Whether the configuration may be old. */
  readonly isCutOff: () => boolean;
  /** Runs work with a key that another data centre's instance hands over. */
  readonly runEntry: (work: Work, signal: AbortSignal) => Promise<Outcome>;
}
