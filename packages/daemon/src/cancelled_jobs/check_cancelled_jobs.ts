import type {CancelledJob} from '@papayarun/protocol';

/**
 * Checks the shape of a received list of cancelled jobs.
 *
 * @param value - Decoded list.
 * @returns The jobs.
 * @throws Error that names the field.
 * @example
 * checkCancelledJobs([{jobId: '5c0e7a21d94b36f8', forMs: 120_000}]);
 */
export function checkCancelledJobs(value: unknown): readonly CancelledJob[] {
  if (!Array.isArray(value)) {
    throw new Error('jobs is missing or not a list');
  }
  for (const job of value as unknown[]) {
    const {jobId, forMs} = (job ?? {}) as Record<string, unknown>;
    if (typeof jobId !== 'string') {
      throw new Error('jobs: jobId is missing or not a string');
    }
    if (!Number.isFinite(forMs) || (forMs as number) < 0) {
      throw new Error('jobs: forMs is missing or not a time');
    }
  }
  return value as readonly CancelledJob[];
}
