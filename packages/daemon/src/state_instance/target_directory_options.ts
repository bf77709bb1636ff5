import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * What the directory needs.
 */
export interface TargetDirectoryOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Instance that schedules a data centre's targets, if one was granted it. */
  readonly schedulerOf: (dataCentre: DataCentreId) => InstanceId | undefined;
}
