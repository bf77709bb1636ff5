/**
 * Least part of the expected run time that is still to come: the mean residual
 * of a log-normal run time with a spread of 0.3 that has reached its mean.
 */
const MIN_REMAINING_SHARE = 0.2;

/**
 * Time that a run is expected to go on.
 *
 * @description Load pattern: all places are busy. Runs that take longer than
 * expected would look like free places, and work would be promised to them.
 * @param expectedMs - Expected run time, in milliseconds.
 * @param ranMs - Time since its order, in milliseconds.
 * @returns Milliseconds, never 0.
 * @throws Never.
 * @example
 * remainingMs(100, 30); // 70
 */
export function remainingMs(expectedMs: number, ranMs: number): number {
  return Math.max(MIN_REMAINING_SHARE * expectedMs, expectedMs - ranMs);
}
