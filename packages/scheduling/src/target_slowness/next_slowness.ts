/** Weight of a new run in the learned slowness. */
const SMOOTHING_FACTOR = 0.2;
/** Part of a run's deviation that is put down to its target. */
const TARGET_SHARE = 0.9;
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 16;

/**
 * Slowness of a target after one more run there.
 *
 * @description Run times are learned without their target's slowness, and the
 * slowness from run times: only their product is seen. A part of each
 * deviation is left out, which draws the mean slowness of all targets to 1;
 * without that, runs that only one of the two learns from (stragglers) move
 * both for good, in opposite directions.
 * @param slowness - Slowness before; 1 is usual.
 * @param ratio - Run time there over the expected one on a usual target.
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
