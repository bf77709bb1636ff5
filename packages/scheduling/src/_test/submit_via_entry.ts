import type {JobOutcome, ScheduledJob} from '@papayarun/protocol';
import type {Scheduler} from '../scheduler/scheduler.js';
import {splitJob} from '../split_job/split_job.js';

/** Submits a job as an entry does if there is no other data centre. */
export async function submitViaEntry(
  scheduler: Scheduler,
  job: ScheduledJob,
): Promise<JobOutcome> {
  const outcome = await scheduler.submit(job);
  const part =
    outcome.kind === 'refused'
      ? splitJob(job, [outcome.quote])?.[0]
      : undefined;
  return part ? scheduler.submit(part) : outcome;
}
