import type {EvacuationPhase} from './evacuation_phase.js';
import type {EvacuationTiming} from './evacuation_timing.js';
import type {KnownEvacuation} from './known_evacuation.js';

/** Share of the targets that are in use right after an evacuation. */
const FIRST_SHARE = 0.25;

/**
 * Determines what may be started on the targets of a data centre.
 *
 * @description Jobs that have begun can't be moved, and most of them end within the
 * grace period. Targets that were idle may be slow at first, so their share grows
 * linearly when they are taken back, instead of all of them being filled at once.
 * @param known - Latest order; undefined if there was none.
 * @param timing - Durations of the phases.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The phase.
 * @throws Never.
 * @example
 * currentEvacuationPhase({isEvacuated: true, learnedMs: 0}, timing, 10); // leaving
 */
export function currentEvacuationPhase(
  known: KnownEvacuation | undefined,
  {graceMs, returnMs}: EvacuationTiming,
  nowMs: number,
): EvacuationPhase {
  if (!known) {
    return {kind: 'inService'};
  }
  const passedMs = nowMs - known.learnedMs;
  if (known.isEvacuated) {
    return {kind: passedMs < graceMs ? 'leaving' : 'evacuated'};
  }
  return passedMs < returnMs
    ? {
        kind: 'returning',
        share: FIRST_SHARE + ((1 - FIRST_SHARE) * passedMs) / returnMs,
      }
    : {kind: 'inService'};
}
