import type {InFlightJob} from '@papayarun/protocol';

/**
 * Checks the shape of a received list of jobs in flight.
 *
 * @param value - Decoded list.
 * @returns The jobs.
 * @throws Error that names the field.
 * @example
 * checkInFlightJobs([{jobId: '5c0e', submissionId: 'centro-1/7', forMs: 900}]);
 */
export function checkInFlightJobs(value: unknown): readonly InFlightJob[] {
  if (!Array.isArray(value)) {
    throw new Error('jobs is missing or not a list');
  }
  for (const job of value as unknown[]) {
    const {jobId, submissionId, forMs} = (job ?? {}) as Record<string, unknown>;
    if (typeof jobId !== 'string') {
      throw new Error('jobs: jobId is missing or not a string');
    }
    if (typeof submissionId !== 'string') {
      throw new Error('jobs: submissionId is missing or not a string');
    }
    if (!Number.isFinite(forMs) || (forMs as number) < 0) {
      throw new Error('jobs: forMs is missing or not a time');
    }
  }
  return value as readonly InFlightJob[];
}
