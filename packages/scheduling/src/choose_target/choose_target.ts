import type {Resources} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';
import type {TargetCandidate} from './target_candidate.js';

/**
 * Steps per unit of slowness; targets within the same step count as equally
 * fast.
 */
const SLOWNESS_STEPS = 4;

/**
 * Chooses the target for a task.
 *
 * @description Prefers sound targets to suspect ones, which get one run at a
 * time, then the fastest. Among equally fast ones it takes the one with the
 * fewest free cores (best fit), so that tasks with large needs find capacity
 * elsewhere.
 * @param candidates - Targets that may run the task.
 * @param needs - Resources that the task needs.
 * @returns The target, or undefined if the task fits on none.
 * @throws Never.
 * @example
 * chooseTarget([small, large], needs)?.targetId;
 */
export function chooseTarget<T extends TargetCandidate>(
  candidates: readonly T[],
  needs: Resources,
): T | undefined {
  let best: T | undefined;
  for (const candidate of candidates) {
    const isUsable =
      fitsIn(needs, candidate.free) &&
      !(candidate.isSuspect && candidate.runs > 0);
    if (isUsable && (!best || isBetter(candidate, best))) {
      best = candidate;
    }
  }
  return best;
}

function isBetter(a: TargetCandidate, b: TargetCandidate): boolean {
  if (a.isSuspect !== b.isSuspect) {
    return b.isSuspect;
  }
  const slownessA = Math.round(a.slowness * SLOWNESS_STEPS);
  const slownessB = Math.round(b.slowness * SLOWNESS_STEPS);
  return slownessA === slownessB
    ? a.free.cores < b.free.cores
    : slownessA < slownessB;
}
