import type {JobOutcome} from '../scheduling/job_outcome.js';
import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Submits a job to a data centre's scheduler; the response is sent when the job
 * has ended.
 */
export interface ScheduleJobCall {
  readonly req: {readonly job: ScheduledJob};
  readonly res: {readonly outcome: JobOutcome};
}
