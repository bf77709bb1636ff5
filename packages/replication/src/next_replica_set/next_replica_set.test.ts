import type {InstanceId, ReplicaId, ReplicaRef} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {DiscoveredReplica} from './discovered_replica.js';
import {nextReplicaSet} from './next_replica_set.js';

const SEED = 32;
const MAX_VOTERS = 8;
const MAX_LEARNERS = 4;

function ref(name: string): ReplicaRef {
  return {instanceId: name as InstanceId, replicaId: `${name}1` as ReplicaId};
}

function refs(names: string): ReplicaRef[] {
  return [...names].map(ref);
}

/** Computes the next change; names are single letters. */
function next(
  voters: string,
  learners: string,
  {silent = '', caughtUp = ''} = {},
): string | undefined {
  const isAmong = (names: string) => (id: ReplicaId) => names.includes(id[0]!);
  const change = nextReplicaSet(
    {voters: refs(voters), learners: refs(learners)},
    refs(voters + learners).map(r => ({...r, joinable: false})),
    {isCaughtUp: isAmong(caughtUp), isSilent: isAmong(silent)},
  );
  const names = (set: readonly ReplicaRef[]): string =>
    set.map(r => r.instanceId).join('');
  return (
    change &&
    `${change.kind} ${names(change.replicas.voters)}|${names(change.replicas.learners)}`
  );
}

describe('nextReplicaSet', () => {
  it('lets a learner take the place of a silent voter', () => {
    const progress = {silent: 'c', caughtUp: 'd'};
    expect(next('abc', 'd', progress)).toBe('voterDemoted ab|dc');
    expect(next('ab', 'dc', progress)).toBe('learnerPromoted abd|c');
    expect(next('abd', 'c', progress)).toBeUndefined();
  });

  it('keeps a silent voter that no learner can replace', () => {
    expect(next('abc', '', {silent: 'c'})).toBeUndefined();
    expect(next('abc', 'd', {silent: 'cd', caughtUp: 'd'})).toBeUndefined();
  });

  it('demotes a silent voter out of an even number', () => {
    expect(next('abcd', '', {silent: 'c'})).toBe('voterDemoted abd|c');
  });

  it('makes a demoted replica a voter again when it has returned', () => {
    expect(next('abd', 'c', {caughtUp: 'c'})).toBe('learnerPromoted abdc|');
  });

  it('forgets the first of more silent learners than voters', () => {
    expect(next('abc', 'xyz', {silent: 'xyz'})).toBeUndefined();
    expect(next('abc', 'wxyz', {silent: 'wxyz'})).toBe(
      'learnerRemoved abc|xyz',
    );
  });

  it('never makes the live voters bear fewer losses, whatever is silent, replaced or new', () => {
    const names = fc.uniqueArray(fc.nat(25), {
      minLength: 1,
      maxLength: MAX_VOTERS + MAX_LEARNERS + 2,
    });
    const flags = fc.infiniteStream(fc.boolean());
    fc.assert(
      fc.property(names, fc.nat(MAX_VOTERS - 1), flags, (ids, n, bits) => {
        const all = ids.map(id => ref(String.fromCharCode(97 + id)));
        const voters = all.slice(0, n + 1);
        const learners = all.slice(n + 1, n + 1 + MAX_LEARNERS);
        const draw = (): boolean => bits.next().value!;
        const subset = (): Set<ReplicaId> =>
          new Set(all.filter(draw).map(r => r.replicaId));
        const silent = subset();
        const caughtUp = subset();
        const discovered = all.filter(draw).map((r): DiscoveredReplica => {
          const isBlank = draw();
          const replicaId = isBlank
            ? (`${r.replicaId}b` as ReplicaId)
            : r.replicaId;
          return {...r, replicaId, joinable: isBlank};
        });
        const isLost = (r: ReplicaRef): boolean =>
          discovered.some(
            d => d.instanceId === r.instanceId && d.replicaId !== r.replicaId,
          );
        const lossesBorne = (set: readonly ReplicaRef[]): number =>
          set.filter(r => !silent.has(r.replicaId) && !isLost(r)).length -
          (Math.floor(set.length / 2) + 1);
        const change = nextReplicaSet({voters, learners}, discovered, {
          isCaughtUp: id => caughtUp.has(id),
          isSilent: id => silent.has(id),
        });
        const after = change?.replicas.voters ?? voters;
        expect(lossesBorne(after)).toBeGreaterThanOrEqual(lossesBorne(voters));
        expect(Math.abs(after.length - voters.length)).toBeLessThanOrEqual(1);
      }),
      {seed: SEED, numRuns: 2_000},
    );
  });
});
