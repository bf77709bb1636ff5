import type {Membership} from '@papayarun/membership';
import type {Clock, EventLog} from '@papayarun/protocol';
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
  readonly control: () => ControlClient;
  /**
   * Time that a new leader waits for heartbeats before it replaces a holder that
   * it hasn't heard from, in milliseconds.
   */
  readonly heartbeatGraceMs: number;
}
