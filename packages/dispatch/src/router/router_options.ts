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
import type {TargetDiscovery} from '../target_discovery/target_discovery.js';

/**
 * Dependencies and settings of a router.
 */
export interface RouterOptions {
  readonly dataCentre: DataCentreId;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly keeper: Keeper;
  readonly policy: Policy;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Period in which targets of this data centre may not be known yet. */
  readonly discovery: TargetDiscovery;
  /**
   * Retries allowed per routed piece of work, for repeatable work that may have
   * run at a lost keeper; 0.1 allows 10 %.
   */
  readonly retryRatio: number;
  /** Whether this instance is cut off, so that its configuration may be old. */
  readonly isCutOff: () => boolean;
  /**
   * Runs a request with an idempotency key (work that is not repeatable) that
   * was handed over by an instance of another data centre.
   */
  readonly runEntry: (work: Work, signal: AbortSignal) => Promise<Outcome>;
}
