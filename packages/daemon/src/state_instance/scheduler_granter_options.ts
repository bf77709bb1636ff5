import type {Membership} from '@papayarun/membership';
import type {Clock, EventLog} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {Replica} from '@papayarun/replication';
import type {ControlClient} from '../control_client/control_client.js';

/**
 * What the granting of schedulers needs.
 */
export interface SchedulerGranterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly replica: Replica;
  readonly store: ControlStore;
  readonly membership: Membership;
  readonly control: () => ControlClient;
  /** Time for which a new leader waits for heartbeats, in milliseconds. */
  readonly settleMs: number;
}
