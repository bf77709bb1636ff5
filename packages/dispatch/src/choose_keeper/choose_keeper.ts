import type {InstanceId} from '@papayarun/protocol';
import type {KeeperCandidate} from './keeper_candidate.js';

/**
 * Fraction by which the load per slot of another instance must be below the
 * local one to justify a message to it.
 */
const MIN_LOAD_REDUCTION = 0.2;

/**
 * Chooses the keeper that runs a piece of work on its targets.
 *
 * @description A local free slot is preferred because it needs no message to
 * another instance. The next choice is the instance with the most free slots.
 * Without free slots it is the instance with the least work of the same kind
 * per slot, and another instance is chosen only if its load is at least a
 * fifth below the local one. This spreads the load of each kind evenly, so the
 * fair shares that each keeper applies hold over all keepers together.
 * @param self - This instance.
 * @param candidates - Live instances that keep targets of the service.
 * @returns The chosen instance, or undefined when no candidate has slots.
 * @throws Never.
 * @example
 * const keeper = chooseKeeper(self, candidates);
 */
export function chooseKeeper(
  self: InstanceId,
  candidates: readonly KeeperCandidate[],
): InstanceId | undefined {
  const withSlots = candidates.filter(candidate => candidate.slots > 0);
  const own = withSlots.find(candidate => candidate.instanceId === self);
  if (own && own.free > 0) {
    return self;
  }
  const mostFree = withSlots.reduce<KeeperCandidate | undefined>(
    (best, c) => (c.free > (best?.free ?? 0) ? c : best),
    undefined,
  );
  if (mostFree) {
    return mostFree.instanceId;
  }
  const leastLoaded = withSlots.reduce<KeeperCandidate | undefined>(
    (best, c) => (!best || loadPerSlot(c) < loadPerSlot(best) ? c : best),
    undefined,
  );
  if (
    own &&
    leastLoaded &&
    loadPerSlot(leastLoaded) > loadPerSlot(own) * (1 - MIN_LOAD_REDUCTION)
  ) {
    return self;
  }
  return leastLoaded?.instanceId;
}

function loadPerSlot(candidate: KeeperCandidate): number {
  return (candidate.workOfKind + 1) / candidate.slots;
}
