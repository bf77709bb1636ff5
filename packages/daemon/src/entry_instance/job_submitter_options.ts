import type {
  Clock,
  EventLog,
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  KindId,
  PeerNetwork,
  RunTimeSample,
  ScheduledJob,
  ShardId,
  SubmissionId,
} from '@papayarun/protocol';
import type {InterruptedJobs} from '../interrupted_jobs/interrupted_jobs.js';
import type {JobRegistrations} from '../registered_jobs/job_registrations.js';
import type {SchedulerFinder} from './scheduler_finder.js';

/**
 * Options of a job submitter.
 */
export interface JobSubmitterOptions {
  readonly self: InstanceId;
  readonly finder: SchedulerFinder;
  readonly network: Pick<PeerNetwork, 'call' | 'notify'>;
  readonly clock: Clock;
  readonly log: EventLog;
  /**
   * Longest time between two messages to a scheduler that runs jobs of this
   * instance, in milliseconds.
   */
  readonly keepAliveMs: number;
  /** Longest time for which runs of a lost scheduler go on, in milliseconds. */
  readonly longestLeaseMs: number;
  /**
   * Reads what has arrived on open connections; returns the monotonic time up to
   * which all has been read, in milliseconds.
   */
  readonly afterNextReading: () => Promise<number>;
  readonly interrupted: InterruptedJobs;
  readonly registrations: Pick<JobRegistrations, 'isCurrent' | 'register'>;
  /** Runs a job on a shard that this instance schedules. */
  readonly schedule: (
    shard: ShardId,
    job: ScheduledJob,
    submissionId: SubmissionId,
  ) => Promise<JobOutcome>;
  /** Quotes a job on a shard that this instance schedules. */
  readonly quote: (shard: ShardId, job: ScheduledJob) => JobQuote;
  /** Cancels a job that this instance submitted to its own scheduler. */
  readonly cancel: (jobId: JobId) => void;
  /** Records a run time, in case this instance becomes the next scheduler. */
  readonly recordRunTime: (kind: KindId, sample: RunTimeSample) => void;
}
