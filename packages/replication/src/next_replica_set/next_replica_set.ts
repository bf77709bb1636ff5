import type {ReplicaId, ReplicaRef, ReplicaSet} from '@papayarun/protocol';
import type {ReplicaSighting} from './replica_sighting.js';

/**
 * Next single change of the members that brings them closer to what is seen.
 *
 * @description One voter is added or removed at a time, so that any majority
 * before and any majority after share a replica (Ongaro, 2014, section 4.1).
 * A replica whose disk was lost comes back under a new id: the old id is
 * removed, the new one learns first and votes only when it has caught up.
 * @param current - Members now.
 * @param seen - Replicas that instances say they have.
 * @param isCaughtUp - Whether a learner has the whole log.
 * @returns The next members, or undefined when nothing is to be changed.
 * @throws Never.
 * @example
 * const next = nextReplicaSet(log.replicas, seen, id => match(id) >= commit);
 */
export function nextReplicaSet(
  current: ReplicaSet,
  seen: readonly ReplicaSighting[],
  isCaughtUp: (id: ReplicaId) => boolean,
): ReplicaSet | undefined {
  const isReplaced = (ref: ReplicaRef): boolean =>
    seen.some(
      s =>
        s.instanceId === ref.instanceId &&
        s.replicaId !== ref.replicaId &&
        s.joinable,
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
  const known = [...current.voters, ...current.learners];
  const added = seen.find(
    s => s.joinable && !known.some(ref => ref.instanceId === s.instanceId),
  );
  if (added) {
    const ref = {instanceId: added.instanceId, replicaId: added.replicaId};
    return {...current, learners: [...current.learners, ref]};
  }
  const ready = current.learners.find(ref => isCaughtUp(ref.replicaId));
  if (ready) {
    return {
      voters: [...current.voters, ready],
      learners: current.learners.filter(ref => ref !== ready),
    };
  }
  return undefined;
}
