import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  DataCentreId,
  InstanceId,
  PeerNetwork,
  RandomSource,
  ShardId,
} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {NodeSettings} from '../cluster_node/node_settings.js';

/**
 * Options of a scheduler finder.
 */
export interface SchedulerFinderOptions {
  readonly cfg: NodeSettings;
  readonly store: ControlStore;
  readonly network: Pick<PeerNetwork, 'connectedPeers'>;
  readonly membership: Pick<Membership, 'isAlive'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Opens a link to an instance, if there is none. */
  readonly linkTo: (instance: InstanceId) => void;
  /** Fencing token under which this instance schedules a shard, if it does. */
  readonly ownToken: (shard: ShardId) => number | undefined;
  /** Whether an order to evacuate a data centre is known here. */
  readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
}
