import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  JobId,
  PeerNetwork,
  RandomSource,
} from '@papayarun/protocol';
import type {InFlightKeeper} from './in_flight_keeper.js';

/**
 * Options of the record of interrupted jobs.
 */
export interface InterruptedJobsOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly network: Pick<PeerNetwork, 'notify' | 'onNotice'>;
  /** Linked entry instances that are alive, with their data centre. */
  readonly entries: () => ReadonlyMap<InstanceId, DataCentreId>;
  /** Linked state instances, the nearest first. */
  readonly stateInstances: () => readonly InstanceId[];
  /** Those that keep jobs in flight. */
  readonly inFlightKeepers: () => ReadonlyMap<InstanceId, InFlightKeeper>;
  /** State instance that has registered a job of this instance, if one has. */
  readonly registrarOf?: (jobId: JobId) => InstanceId | undefined;
  /**
   * Time after the loss of an instance by which the runs of its jobs, or of its
   * scheduler, have ended, in milliseconds.
   */
  readonly runsEndAfterMs: number;
}
