import type {JobEnd, JobOutcome} from '@papayarun/protocol';

/**
 * How a job has ended for good.
 *
 * @param outcome - Outcome of its submission.
 * @returns The end; undefined if the caller may send the job again to have it run.
 * @throws Never.
 * @example
 * jobEndOf({kind: 'failed', reason: 'deadline'}); // undefined
 */
export function jobEndOf(outcome: JobOutcome): JobEnd | undefined {
  switch (outcome.kind) {
    case 'completed':
      return 'completed';
    case 'failed':
      return outcome.reason === 'taskFailed' ? 'failed' : undefined;
    case 'handedOver':
    case 'refused':
      return undefined;
    default:
      return outcome satisfies never;
  }
}
