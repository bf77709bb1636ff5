import type {TargetHealth} from './target_health.js';
import type {TargetResult} from './target_result.js';

/** Failures in a row that eject a target. */
const FAILURES_TO_EJECT = 5;
/** Failures in a row that eject a target when the last is a failure to connect. */
const CONNECT_FAILURES_TO_EJECT = 2;
/** Moving failure rate above which a target is ejected, 0 to 1. */
const MAX_FAILURE_RATE = 0.6;
/** Weight of a new result in the moving failure rate. */
const FAILURE_RATE_SMOOTHING = 0.05;
/** Successes in a row that end the probation of a target. */
const SUCCESSES_TO_RECOVER = 4;
/** Duration of the first ejection, in milliseconds. */
const BASE_EJECTION_MS = 2_000;
/** Longest duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 30_000;

/**
 * Health of a target after one more result.
 *
 * @description A target is ejected after 5 failures in a row, after 2 in a row
 * if the last one is a failure to connect, or at a moving failure rate above
 * 0.6. Each ejection in a row lasts twice as long as the one before, up to 30 s.
 * The target is then on probation: 4 successes in a row make it healthy, one
 * failure ejects it again.
 * @param health - Health before the result.
 * @param result - How the request ended.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Health after the result.
 * @throws Never.
 * @example
 * health = nextHealth(health, 'failed', clock.now());
 */
export function nextHealth(
  health: TargetHealth,
  result: TargetResult,
  nowMs: number,
): TargetHealth {
  switch (health.kind) {
    case 'healthy':
      return afterHealthy(health, result, nowMs);
    case 'probation':
      return afterProbation(health, result, nowMs);
    case 'ejected':
      return health;
    default:
      return health satisfies never;
  }
}

function afterHealthy(
  health: Extract<TargetHealth, {kind: 'healthy'}>,
  result: TargetResult,
  nowMs: number,
): TargetHealth {
  const failed = result !== 'succeeded';
  const failureRate =
    health.failureRate * (1 - FAILURE_RATE_SMOOTHING) +
    (failed ? FAILURE_RATE_SMOOTHING : 0);
  const failuresInRow = failed ? health.failuresInRow + 1 : 0;
  const limit =
    result === 'unreachable' ? CONNECT_FAILURES_TO_EJECT : FAILURES_TO_EJECT;
  if (failuresInRow >= limit || failureRate > MAX_FAILURE_RATE) {
    return eject(health.ejections, nowMs);
  }
  return {...health, failuresInRow, failureRate};
}

function afterProbation(
  health: Extract<TargetHealth, {kind: 'probation'}>,
  result: TargetResult,
  nowMs: number,
): TargetHealth {
  if (result !== 'succeeded') {
    return eject(health.ejections, nowMs);
  }
  const successesInRow = health.successesInRow + 1;
  return successesInRow >= SUCCESSES_TO_RECOVER
    ? {kind: 'healthy', failuresInRow: 0, failureRate: 0, ejections: 0}
    : {...health, successesInRow};
}

function eject(ejections: number, nowMs: number): TargetHealth {
  const durationMs = Math.min(
    MAX_EJECTION_MS,
    BASE_EJECTION_MS * 2 ** ejections,
  );
  return {
    kind: 'ejected',
    untilMs: nowMs + durationMs,
    ejections: ejections + 1,
  };
}
