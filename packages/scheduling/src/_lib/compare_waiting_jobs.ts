import type {JobRecord} from './job_record.js';

/**
 * Order in which jobs get places: by priority, those that can still meet their
 * objective before those that can't, then by arrival.
 *
 * @description Load pattern: more comes than can be served for some seconds.
 * In order of arrival alone, jobs that are late already take the places and
 * make each job behind them late as well. Behind the others they get the
 * places that are left, and are still answered.
 * @param a - One job.
 * @param b - The other one.
 * @param nowMs - Monotonic time.
 * @returns Less than 0 when the first one goes before.
 * @throws Never.
 * @example
 * jobs.sort((a, b) => compareWaiting(a, b, clock.now()));
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
