import type {ReplicaId, ReplicaRef, ReplicaSet} from '@papayarun/protocol';
import type {DiscoveredReplica} from './discovered_replica.js';

/**
 * Computes the next single membership change towards the discovered replicas.
 *
 * @description One voter is added or removed at a time, so that any majority
 * before and any majority after share a replica (Ongaro, 2014, section 4.1).
 * A replica whose disk was lost returns under a new id: the old id is removed,
 * and the new one joins as a learner that becomes a voter once it has caught
 * up.
 * @param current - Current members.
 * @param discovered - Replicas that instances report.
 * @param isCaughtUp - Whether a learner has the whole log.
 * @returns The next members, or undefined when no change is needed.
 * @throws Never.
 * @example
 * const next = nextReplicaSet(log.replicas, found, id => match(id) >= commit);
 */
export function nextReplicaSet(
  current: ReplicaSet,
  discovered: readonly DiscoveredReplica[],
  isCaughtUp: (id: ReplicaId) => boolean,
): ReplicaSet | undefined {
  const isReplaced = (ref: ReplicaRef): boolean =>
    discovered.some(
      r =>
        r.instanceId === ref.instanceId &&
        r.replicaId !== ref.replicaId &&
        r.joinable,
    );
  const lost = current.voters.find(isReplaced);
  if (lost && current.voters.length > 1) {
    return {...current, voters: current.voters.filter(ref => ref !== lost)};
  }
  const stale = current.learners.find(isReplaced);
  if (stale) {
    return {
      ...current,
      learners: current.learners.filter(ref => ref !== stale),
    };
  }
  const members = [...current.voters, ...current.learners];
  const added = discovered.find(
    s => s.joinable && !members.some(ref => ref.instanceId === s.instanceId),
  );
  if (added) {
    const ref = {instanceId: added.instanceId, replicaId: added.replicaId};
    return {...current, learners: [...current.learners, ref]};
  }
  const caughtUp = current.learners.find(ref => isCaughtUp(ref.replicaId));
  if (caughtUp) {
    return {
      voters: [...current.voters, caughtUp],
      learners: current.learners.filter(ref => ref !== caughtUp),
    };
  }
  return undefined;
}
