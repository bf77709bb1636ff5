import type {
  Clock,
  EventLog,
  InstanceId,
  JobId,
  JobOutcome,
  KindId,
  PeerNetwork,
  RunTimeSample,
  ScheduledJob,
} from '@papayarun/protocol';
import type {SchedulerFinder} from './scheduler_finder.js';

/**
 * What is needed to take jobs to schedulers.
 */
export interface JobSubmitterOptions {
  readonly self: InstanceId;
  readonly finder: SchedulerFinder;
  readonly network: Pick<PeerNetwork, 'call' | 'notify'>;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Runs a job on this instance's own scheduler. */
  readonly schedule: (job: ScheduledJob) => Promise<JobOutcome>;
  /** Gives up a job of this instance's own scheduler. */
  readonly cancel: (jobId: JobId) => void;
  /** Takes note of a run time, in case this instance schedules next. */
  readonly learn: (kind: KindId, sample: RunTimeSample) => void;
}
