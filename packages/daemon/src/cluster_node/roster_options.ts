import type {Membership, WsPeerNetwork} from '@papayarun/membership';
import type {Clock, EventLog, KnownInstance} from '@papayarun/protocol';
import type {NodeSettings} from './node_settings.js';

/**
 * What a roster needs.
 */
export interface RosterOptions {
  readonly cfg: NodeSettings;
  readonly network: WsPeerNetwork;
  readonly membership: () => Membership;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether a link to an instance is wanted. */
  readonly wants: (known: KnownInstance) => boolean;
}
