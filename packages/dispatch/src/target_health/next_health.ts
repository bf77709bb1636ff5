import type {TargetHealth} from './target_health.js';
import type {TargetResult} from './target_result.js';

const FAILURES_TO_EJECT = 5;
const UNREACHABLE_TO_EJECT = 2;
const RATE_TO_EJECT = 0.6;
const RATE_SMOOTHING = 0.05;
const SUCCESSES_TO_HEAL = 4;
const BASE_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;

/**
 * Health of a target after one more result.
 *
 * @description Ejects after 5 failures in a row, 2 in a row to connect, or a
 * moving failure rate above 0.6. Each ejection in a row lasts twice as long,
 * up to 30 s. After it the target is on probation; 4 successes in a row heal
 * it, one failure ejects it again.
 * @param health - Health before.
 * @param result - How the request ended.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Health after.
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
    health.failureRate * (1 - RATE_SMOOTHING) + (failed ? RATE_SMOOTHING : 0);
  const failuresInRow = failed ? health.failuresInRow + 1 : 0;
  const limit =
    result === 'unreachable' ? UNREACHABLE_TO_EJECT : FAILURES_TO_EJECT;
  if (failuresInRow >= limit || failureRate > RATE_TO_EJECT) {
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
  return successesInRow >= SUCCESSES_TO_HEAL
    ? {kind: 'healthy', failuresInRow: 0, failureRate: 0, ejections: 0}
    : {...health, successesInRow};
}

function eject(ejections: number, nowMs: number): TargetHealth {
  const lastMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** ejections);
  return {kind: 'ejected', untilMs: nowMs + lastMs, ejections: ejections + 1};
}
