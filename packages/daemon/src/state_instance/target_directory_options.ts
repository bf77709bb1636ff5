import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * Options of a target directory.
 */
export interface TargetDirectoryOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Instance that holds the scheduler grant of a data centre, if any. */
  readonly schedulerOf: (dataCentre: DataCentreId) => InstanceId | undefined;
}
