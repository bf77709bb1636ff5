import type {
  Clock,
  InFlightJob,
  InstanceId,
  JobId,
  PeerNetwork,
  SubmissionId,
} from '@papayarun/protocol';

/**
 * Options of the notices of jobs in flight.
 */
export interface InFlightNoticesOptions {
  readonly clock: Clock;
  readonly network: Pick<PeerNetwork, 'notify'>;
  /** Instances to tell, of those that are linked now. */
  readonly backups: () => readonly InstanceId[];
  /** Interval of the notices in the long run, in milliseconds. */
  readonly intervalMs: () => number;
  /**
   * Time after the loss of this instance by which the runs have ended, in
   * milliseconds.
   */
  readonly runsEndAfterMs: number;
  /** Whether a backup is told of a job, of which another one may know already. */
  readonly isToldOf: (backup: InstanceId, jobId: JobId) => boolean;
  /** All submissions of this instance whose runs may go on. */
  readonly submissions: () => Iterable<SubmissionId>;
  /** Those of some submissions whose runs may go on. */
  readonly inFlight: (ids: Iterable<SubmissionId>) => InFlightJob[];
}
