import type {ShardId} from '../ids/shard_id.js';
import type {JobQuote} from '../scheduling/job_quote.js';
import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Requests a scheduler's estimate of when the tasks of a job would end.
 */
export interface QuoteJobCall {
  readonly req: {
    /** The job; its `spec` may be left out. */
    readonly job: ScheduledJob;
    /** Absent in versions without shards, which mean the first one. */
    readonly shard?: ShardId;
  };
  readonly res: {readonly quote: JobQuote};
}
