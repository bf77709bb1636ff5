import type {JobEnd, JobOutcome} from '@papayarun/protocol';

/**
 * Outcome for a copy of a job that has ended.
 *
 * @param end - How the job has ended.
 * @returns The outcome that its first request got.
 * @throws Never.
 * @example
 * outcomeOfEnd('completed'); // {kind: 'completed', samples: []}
 */
export function outcomeOfEnd(end: JobEnd): JobOutcome {
  switch (end) {
    case 'completed':
      return {kind: 'completed', samples: []};
    case 'failed':
      return {kind: 'failed', reason: 'taskFailed'};
    default:
      return end satisfies never;
  }
}
