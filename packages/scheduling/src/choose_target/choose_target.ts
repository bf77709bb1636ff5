import type {Resources} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';
import type {TargetCandidate} from './target_candidate.js';

/** Slowness in steps of a quarter counts as equal. */
const SLOWNESS_STEPS = 4;

/**
 * Chooses the target for a task.
 *
 * @description Sound targets before suspect ones, which get one run at a time;
 * then the fastest; among equals the one with the least room left over (best
 * fit), so that wide tasks find room.
 * @param candidates - Targets that may run the task.
 * @param needs - Its needs.
 * @returns The target, or undefined when it fits nowhere.
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
