import type {ShardId} from '../ids/shard_id.js';
import type {JobOutcome} from '../scheduling/job_outcome.js';
import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Submits a job to the scheduler of a shard; the response is sent when the job
 * has ended.
 */
export interface ScheduleJobCall {
  readonly req: {
    readonly job: ScheduledJob;
    /** Absent in versions without shards, which mean the first one. */
    readonly shard?: ShardId;
  };
  readonly res: {readonly outcome: JobOutcome};
}
