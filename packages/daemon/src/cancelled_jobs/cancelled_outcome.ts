import type {JobOutcome, ScheduledJob} from '@papayarun/protocol';

/**
 * Outcome, at a scheduler, of the submission of a job that its caller has cancelled.
 *
 * @param job - The job.
 * @returns No refusal, after which the job could be submitted elsewhere. Runs that
 *   were handed over with it may go on until their lease ends.
 * @throws Never.
 * @example
 * cancelledOutcome(job).kind; // 'failed'
 */
export function cancelledOutcome({placed}: ScheduledJob): JobOutcome {
  return {
    kind: 'failed',
    reason: 'cancelledByCaller',
    ...(placed ? {mayRun: true} : {}),
  };
}
