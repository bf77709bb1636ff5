import type {JobRecord} from './job_record.js';

/**
 * Compares jobs for the order in which they get slots: by priority, then those
 * that can still meet their objective before those that can't, then jobs of many
 * tasks that have time to spare behind the others, then by arrival.
 *
 * @description Under an overload of some seconds, plain order of arrival gives
 * the slots to jobs that are late already, and each job behind them becomes
 * late as well. Late jobs therefore come last: they get the slots that are left
 * and are still answered. Admission uses the same order, so that a job is not
 * refused for work that it would overtake.
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
    Number(a.yieldsUntilMs > nowMs) - Number(b.yieldsUntilMs > nowMs) ||
    a.sequence - b.sequence
  );
}

function isLate(record: JobRecord, nowMs: number): boolean {
  return nowMs > record.lateFromMs;
}
