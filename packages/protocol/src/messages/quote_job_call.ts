import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Asks a scheduler how many tasks of a job it could do in time.
 */
export interface QuoteJobCall {
  readonly req: {readonly job: ScheduledJob};
  readonly res: {readonly offer: number};
}
