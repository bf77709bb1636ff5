/** Value of a job without work. */
const BASE_VALUE = 0.3;
/** Value of a job's work, if it is that of the mean job of its kind. */
const WORK_VALUE = 0.7;
const MAX_VALUE = 4;

/**
 * Values of jobs in the score of a load: 0.3, and 0.7 times their work against
 * the mean of their kind, at most 4.
 *
 * @param jobs - All jobs of a load, by kind and work in milliseconds.
 * @returns The value of each job, in order.
 * @throws Never.
 * @example
 * jobValues([{kind: 'a', workMs: 50}, {kind: 'a', workMs: 150}]); // [0.65, 1.35]
 */
export function jobValues(
  jobs: ReadonlyArray<{readonly kind: string; readonly workMs: number}>,
): number[] {
  const sums = new Map<string, {workMs: number; count: number}>();
  for (const {kind, workMs} of jobs) {
    const sum = sums.get(kind) ?? {workMs: 0, count: 0};
    sum.workMs += workMs;
    sum.count++;
    sums.set(kind, sum);
  }
  return jobs.map(({kind, workMs}) => {
    const sum = sums.get(kind)!;
    const relative = (workMs * sum.count) / Math.max(1e-9, sum.workMs);
    return Math.min(MAX_VALUE, BASE_VALUE + WORK_VALUE * relative);
  });
}
