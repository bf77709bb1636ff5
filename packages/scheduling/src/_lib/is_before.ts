import type {JobRecord} from './job_record.js';

/**
 * Whether a job's tasks go before another's: by priority, then arrival.
 *
 * @param a - One job.
 * @param b - The other one.
 * @returns True when the first goes before.
 * @throws Never.
 * @example
 * isBefore(urgent, usual); // true
 */
export function isBefore(a: JobRecord, b: JobRecord): boolean {
  return a.job.priority === b.job.priority
    ? a.sequence < b.sequence
    : a.job.priority < b.job.priority;
}
