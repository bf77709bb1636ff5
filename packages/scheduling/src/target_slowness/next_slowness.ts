/** Weight of a new run in the moving average of the slowness. */
const SMOOTHING_FACTOR = 0.2;
/** Share of the deviation of a run time that is attributed to the target. */
const TARGET_SHARE = 0.9;
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 16;

/**
 * Slowness of a target after one more run on it.
 *
 * @description Expected run times are learned from run times divided by the
 * slowness, and the slowness from run times divided by the expected ones, so
 * only their product is observed. A share of each deviation is left out, which
 * draws the mean slowness of all targets to 1. Without it, runs that count for
 * only one of the two, such as stragglers, would shift both for good in
 * opposite directions.
 * @param slowness - Slowness before; 1 is usual.
 * @param ratio - Run time on the target over the expected one on a usual
 *   target.
 * @returns Slowness after.
 * @throws Never.
 * @example
 * nextSlowness(1, 4); // 1.28
 */
export function nextSlowness(slowness: number, ratio: number): number {
  const observedLog = TARGET_SHARE * Math.log(Math.max(ratio, 0.01));
  const previousLog = Math.log(slowness);
  const slownessLog =
    previousLog + SMOOTHING_FACTOR * (observedLog - previousLog);
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, Math.exp(slownessLog)));
}
