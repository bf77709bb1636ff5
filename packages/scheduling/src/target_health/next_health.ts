import type {TargetHealth} from './target_health.js';

/** Failures in a row that eject a target. */
const FAILURES_TO_EJECT = 2;
/** First time without work of an ejected target, in milliseconds. */
const FIRST_EJECTION_MS = 500;
/** Longest time without work of an ejected target, in milliseconds. */
const MAX_EJECTION_MS = 4_000;

/**
 * Trust in a target after a run, or after time has passed.
 *
 * @description Load pattern: a target fails or hangs everything at once, and
 * so always has room; without ejection it attracts all work. Ejection times
 * double, one run tries it again.
 * @param health - Trust before.
 * @param event - What happened.
 * @param nowMs - Monotonic time.
 * @returns Trust after.
 * @throws Never.
 * @example
 * nextTrust({kind: 'sound'}, 'failed', 0); // {kind: 'suspect', failures: 1}
 */
export function nextHealth(
  health: TargetHealth,
  event: 'succeeded' | 'failed' | 'timePassed',
  nowMs: number,
): TargetHealth {
  switch (event) {
    case 'succeeded':
      return {kind: 'sound'};
    case 'failed': {
      const failures = (health.kind === 'sound' ? 0 : health.failures) + 1;
      if (failures < FAILURES_TO_EJECT) {
        return {kind: 'suspect', failures};
      }
      const doublings = failures - FAILURES_TO_EJECT;
      const ejectionMs = Math.min(
        MAX_EJECTION_MS,
        FIRST_EJECTION_MS * 2 ** doublings,
      );
      return {kind: 'ejected', failures, untilMs: nowMs + ejectionMs};
    }
    case 'timePassed':
      return health.kind === 'ejected' && nowMs >= health.untilMs
        ? {kind: 'suspect', failures: health.failures}
        : health;
    default:
      return event satisfies never;
  }
}
