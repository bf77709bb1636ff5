import type {Membership} from '@papayarun/membership';
import type {Clock, EventLog, PeerNetwork} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {Replica} from '@papayarun/replication';
import type {ControlClient} from '../control_client/control_client.js';

/**
 * Options of the scheduler granter.
 */
export interface SchedulerGranterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly replica: Replica;
  readonly store: ControlStore;
  readonly membership: Membership;
  readonly network: Pick<PeerNetwork, 'connectedPeers'>;
  readonly control: () => ControlClient;
  /**
   * Time from the first heartbeat of a data centre's entry instances in which a
   * holder there that isn't heard is not replaced, in milliseconds.
   */
  readonly heartbeatGraceMs: number;
}
