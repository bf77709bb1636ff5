import type {ShardId} from '../ids/shard_id.js';
import type {SubmissionId} from '../ids/submission_id.js';
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
    /**
     * Longest time between two messages of the sender while it waits for the
     * response, in milliseconds. Absent in versions that send none in between.
     */
    readonly keepAliveMs?: number;
    /** Name of this submission; absent in versions that don't name them. */
    readonly submissionId?: SubmissionId;
  };
  readonly res: {readonly outcome: JobOutcome};
}
