import type {ReplicaRef, ReplicaSet} from '@papayarun/protocol';
import type {DiscoveredReplica} from './discovered_replica.js';
import type {ReplicaProgress} from './replica_progress.js';
import type {ReplicaSetChange} from './replica_set_change.js';

/**
 * Computes the next single membership change towards the discovered replicas.
 *
 * @description One voter is added or removed at a time, so that any majority
 * before and any majority after share a replica (Ongaro, 2014, section 4.1).
 * A replica whose disk was lost returns under a new id: the old id is removed,
 * and the new one joins as a learner that becomes a voter once it has caught
 * up. A silent voter becomes a learner when that doesn't reduce the number of
 * losses that the other voters bear: when a learner can take its place, or when
 * the majority gets smaller. It becomes a voter again after it has returned.
 * @param current - Current members.
 * @param discovered - Replicas that instances report.
 * @param progress - What the leader knows of the members.
 * @returns The change, or undefined when none is needed.
 * @throws Never.
 * @example
 * const change = nextReplicaSet(log.replicas, found, progress);
 */
export function nextReplicaSet(
  current: ReplicaSet,
  discovered: readonly DiscoveredReplica[],
  {isCaughtUp, isSilent}: ReplicaProgress,
): ReplicaSetChange | undefined {
  const {voters, learners} = current;
  const isReplaced = (ref: ReplicaRef): boolean =>
    discovered.some(
      r =>
        r.instanceId === ref.instanceId &&
        r.replicaId !== ref.replicaId &&
        r.joinable,
    );
  const lost = voters.find(isReplaced);
  if (lost && voters.length > 1) {
    const replicas = {voters: without(voters, lost), learners};
    return {kind: 'voterRemoved', replicas};
  }
  const stale = learners.find(isReplaced);
  if (stale) {
    return {kind: 'learnerRemoved', replicas: withoutLearner(current, stale)};
  }
  const members = [...voters, ...learners];
  const added = discovered.find(
    s => s.joinable && !members.some(ref => ref.instanceId === s.instanceId),
  );
  if (added) {
    const ref = {instanceId: added.instanceId, replicaId: added.replicaId};
    const replicas = {voters, learners: [...learners, ref]};
    return {kind: 'learnerAdded', replicas};
  }
  const promotable = learners.find(
    ref => isCaughtUp(ref.replicaId) && !isSilent(ref.replicaId),
  );
  const silent = voters.find(ref => isSilent(ref.replicaId));
  const isEven = voters.length % 2 === 0;
  // An even number of voters bears no more losses than one voter less.
  if (silent && isEven === (promotable === undefined)) {
    const replicas = {
      voters: without(voters, silent),
      learners: [...learners, silent],
    };
    return {kind: 'voterDemoted', replicas};
  }
  if (promotable) {
    const replicas = {
      voters: [...voters, promotable],
      learners: without(learners, promotable),
    };
    return {kind: 'learnerPromoted', replicas};
  }
  const silentLearners = learners.filter(ref => isSilent(ref.replicaId));
  if (silentLearners.length > voters.length) {
    const replicas = withoutLearner(current, silentLearners[0]!);
    return {kind: 'learnerRemoved', replicas};
  }
  return undefined;
}

function withoutLearner(
  {voters, learners}: ReplicaSet,
  learner: ReplicaRef,
): ReplicaSet {
  return {voters, learners: without(learners, learner)};
}

function without(
  refs: readonly ReplicaRef[],
  removed: ReplicaRef,
): ReplicaRef[] {
  return refs.filter(ref => ref !== removed);
}
