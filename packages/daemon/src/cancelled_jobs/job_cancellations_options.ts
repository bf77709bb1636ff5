import type {
  Clock,
  EventLog,
  InstanceId,
  JobId,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * Options of the cancellations of an entry instance.
 */
export interface JobCancellationsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: Pick<
    PeerNetwork,
    'call' | 'notify' | 'onCall' | 'onNotice'
  >;
  /** Linked state instances that are alive. */
  readonly stateInstances: () => readonly InstanceId[];
  /** Ends a job at the schedulers of this instance; false if they don't have it. */
  readonly endJob: (jobId: JobId) => boolean;
}
