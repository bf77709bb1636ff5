import type {Membership, WsPeerNetwork} from '@papayarun/membership';
import type {
  Clock,
  EventLog,
  InstanceId,
  KnownInstance,
} from '@papayarun/protocol';
import type {NodeSettings} from './node_settings.js';

/**
 * Options of peer discovery.
 */
export interface PeerDiscoveryOptions {
  readonly cfg: NodeSettings;
  readonly network: WsPeerNetwork;
  readonly membership: () => Membership;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Instances whose replicas are members of the log, as far as its own disk says. */
  readonly logMembers: () => readonly InstanceId[];
  /** Whether this instance keeps a link to a peer. */
  readonly shouldLink: (peer: KnownInstance) => boolean;
}
