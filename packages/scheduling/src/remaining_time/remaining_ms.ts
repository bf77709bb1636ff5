/**
 * Smallest remaining time of a run, as a share of its expected run time: the
 * mean residual of a log-normal run time with a standard deviation of the
 * logarithm of 0.3 that has reached its mean.
 */
const MIN_REMAINING_SHARE = 0.2;

/**
 * Expected remaining time of a run.
 *
 * @description Never 0: while all slots are busy, a run that takes longer than
 * expected would otherwise count as a free slot, and work would be promised to
 * it.
 * @param expectedMs - Expected run time, in milliseconds.
 * @param ranMs - Time since the order to start, in milliseconds.
 * @returns The remaining time in milliseconds, above 0.
 * @throws Never.
 * @example
 * remainingMs(100, 30); // 70
 */
export function remainingMs(expectedMs: number, ranMs: number): number {
  return Math.max(MIN_REMAINING_SHARE * expectedMs, expectedMs - ranMs);
}
