import type {JobRecord} from './job_record.js';

/**
 * Compares jobs for the order in which they get slots: by priority, then those
 * that can still meet their objective before those that can't, then by arrival.
 *
 * @description Under an overload of some seconds, plain order of arrival gives
 * the slots to jobs that are late already, and each job behind them becomes
 * late as well. Late jobs therefore come last: they get the slots that are left
 * and are still answered.
 * @param a - First job.
 * @param b - Second job.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns A negative number if the first job comes first.
 * @throws Never.
 * @example
 * jobs.sort((a, b) => compareWaitingJobs(a, b, clock.now()));
 */
export function compareWaitingJobs(
  a: JobRecord,
  b: JobRecord,
  nowMs: number,
): number {
  return (
    a.job.priority - b.job.priority ||
    Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)) ||
    a.sequence - b.sequence
  );
}

function isLate(record: JobRecord, nowMs: number): boolean {
  return nowMs + record.criticalPathMs > record.objectiveAtMs;
}
