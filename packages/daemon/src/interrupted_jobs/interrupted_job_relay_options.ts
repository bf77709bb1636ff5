import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * Options of a relay of interrupted jobs.
 */
export interface InterruptedJobRelayOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: Pick<PeerNetwork, 'notify' | 'onNotice'>;
  /** Linked entry instances that are alive, with their data centre. */
  readonly entries: () => ReadonlyMap<InstanceId, DataCentreId>;
}
