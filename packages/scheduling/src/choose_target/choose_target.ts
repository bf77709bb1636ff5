import type {Resources} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';
import type {TargetOption} from './target_option.js';

/** Slowness in steps of a quarter counts as equal. */
const SLOWNESS_STEPS = 4;

/**
 * Chooses the target for a task.
 *
 * @description Sound targets before suspect ones, which get one run at a time;
 * then the fastest; among equals the one with the least room left over (best
 * fit), so that wide tasks find room.
 * @param options - Targets that may run the task.
 * @param needs - Its needs.
 * @returns The target, or undefined when it fits nowhere.
 * @throws Never.
 * @example
 * chooseTarget([small, large], needs)?.targetId;
 */
export function chooseTarget<T extends TargetOption>(
  options: readonly T[],
  needs: Resources,
): T | undefined {
  let best: T | undefined;
  for (const option of options) {
    const isUsable =
      fitsIn(needs, option.free) && !(option.isSuspect && option.runs > 0);
    if (isUsable && (!best || isBetter(option, best))) {
      best = option;
    }
  }
  return best;
}

function isBetter(a: TargetOption, b: TargetOption): boolean {
  if (a.isSuspect !== b.isSuspect) {
    return b.isSuspect;
  }
  const paceA = Math.round(a.slowness * SLOWNESS_STEPS);
  const paceB = Math.round(b.slowness * SLOWNESS_STEPS);
  return paceA === paceB ? a.free.cores < b.free.cores : paceA < paceB;
}
