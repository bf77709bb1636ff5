import type {JobOutcome} from '../scheduling/job_outcome.js';
import type {ScheduledJob} from '../scheduling/scheduled_job.js';

/**
 * Hands a job to a data centre's scheduler; answered when the job has ended.
 */
export interface ScheduleJobCall {
  readonly req: {readonly job: ScheduledJob};
  readonly res: {readonly outcome: JobOutcome};
}
