import type {TargetHealth} from './target_health.js';

/** Consecutive failures after which a target is ejected. */
const FAILURES_TO_EJECT = 2;
/** Duration of the first ejection, in milliseconds. */
const FIRST_EJECTION_MS = 500;
/** Longest duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 4_000;

/**
 * Health of a target after a run has ended or time has passed.
 *
 * @description A target on which all runs fail or hang at once always has free
 * capacity, and would attract all work if it were not ejected. Ejections double
 * in length, up to a limit; after each, a single run probes the target.
 * @param health - Health before.
 * @param event - Result of a run, or `timePassed` to end an ejection that is
 *   due.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Health after.
 * @throws Never.
 * @example
 * nextHealth({kind: 'sound'}, 'failed', 0); // {kind: 'suspect', failures: 1}
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
