import type {LongRun} from './long_run.js';

/**
 * Multiple of the expected run time after which a target that completes nothing
 * is held responsible. `SLACK_MS` is added to it.
 */
const QUIET_TARGET_FACTOR = 4;
/**
 * Multiple of the expected run time after which a run on a target that completes
 * other runs is stopped. `SLACK_MS` is added to it.
 */
const WORKING_TARGET_FACTOR = 8;
/** Time beyond the multiples of the expected run time, in milliseconds. */
const SLACK_MS = 150;
/** Multiple of a length that the task is known to need. */
const KNOWN_NEED_FACTOR = 2;

/**
 * Decides whether a run is to be stopped and repeated on another target.
 *
 * @description Load patterns: a few tasks in a hundred take several times as
 * long as the others, on any target; and a target on which all runs stand still.
 * If each long task were stopped, it would be stopped again on the next target
 * until its caller gave up. A target is held responsible if it completes nothing
 * for as long as a straggler takes and its last run failed or was stopped as
 * well. Without such evidence the length may be the task's own: the task is
 * stopped once at most, and neither on an estimate from few samples nor for a
 * length that other tasks of its step needed. On a target that completes other
 * runs, it is stopped only if there is room elsewhere and time for a run twice as
 * long.
 * @param run - The run, its task and its target.
 * @returns True if the run is to be stopped.
 * @throws Never.
 * @example
 * isStraggler({ranMs: 400, expectedMs: 60, isExpectationReliable: true,
 *   knownNeedMs: 0, isRepeated: false, targetQuietMs: 400,
 *   isTargetSuspect: true, hasRoomElsewhere: true, leftMs: 1_000}); // true
 */
export function isStraggler(run: LongRun): boolean {
  const {ranMs, expectedMs, knownNeedMs, leftMs} = run;
  const quietLimitMs = QUIET_TARGET_FACTOR * expectedMs + SLACK_MS;
  if (ranMs <= quietLimitMs || leftMs <= expectedMs) {
    return false;
  }
  const isTargetQuiet = run.targetQuietMs > quietLimitMs;
  if (isTargetQuiet && run.isTargetSuspect) {
    return true;
  }
  if (
    !run.isExpectationReliable ||
    run.isRepeated ||
    ranMs <= KNOWN_NEED_FACTOR * knownNeedMs
  ) {
    return false;
  }
  return (
    isTargetQuiet ||
    (ranMs > WORKING_TARGET_FACTOR * expectedMs + SLACK_MS &&
      leftMs > KNOWN_NEED_FACTOR * ranMs &&
      run.hasRoomElsewhere)
  );
}
