import type {InstanceId} from '@papayarun/protocol';
import type {SpillCandidate} from './spill_candidate.js';

/**
 * Chooses the instance of another data centre to which work spills.
 *
 * @description A peer counts as alive for a while after its link was lost. Work that
 * spilled to it would use up its routing attempts, although its own data centre can
 * still queue it.
 * @param candidates - Live instances of other data centres.
 * @returns The linked instance with the most free slots, or undefined when none has
 *   a free slot.
 * @throws Never.
 * @example
 * const instance = chooseSpillInstance(candidates);
 */
export function chooseSpillInstance(
  candidates: readonly SpillCandidate[],
): InstanceId | undefined {
  let best: SpillCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.isLinked && candidate.free > (best?.free ?? 0)) {
      best = candidate;
    }
  }
  return best?.instanceId;
}
