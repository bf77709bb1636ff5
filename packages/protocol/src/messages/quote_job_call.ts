import type {JobQuote} from '../scheduling/job_quote.js';
import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Asks a scheduler when the tasks of a job would end there.
 */
export interface QuoteJobCall {
  readonly req: {readonly job: ScheduledJob};
  readonly res: {readonly quote: JobQuote};
}
