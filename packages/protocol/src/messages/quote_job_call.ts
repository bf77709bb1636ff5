import type {JobQuote} from '../scheduling/job_quote.js';
import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Requests a scheduler's estimate of when the tasks of a job would end.
 */
export interface QuoteJobCall {
  readonly req: {readonly job: ScheduledJob};
  readonly res: {readonly quote: JobQuote};
}
