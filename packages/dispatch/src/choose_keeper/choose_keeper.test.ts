import type {InstanceId} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseKeeper} from './choose_keeper.js';
import type {KeeperCandidate} from './keeper_candidate.js';

const SELF = 'a' as InstanceId;

function candidate(
  id: string,
  slots: number,
  free: number,
  workOfKind: number,
): KeeperCandidate {
  return {instanceId: id as InstanceId, slots, free, workOfKind};
}

describe('chooseKeeper', () => {
  it('prefers a local free slot, then the most free slots, then the least work of the kind', () => {
    expect(
      chooseKeeper(SELF, [candidate('a', 8, 1, 0), candidate('b', 8, 8, 0)]),
    ).toBe('a');
    expect(
      chooseKeeper(SELF, [
        candidate('a', 8, 0, 0),
        candidate('b', 8, 2, 0),
        candidate('c', 8, 3, 0),
      ]),
    ).toBe('c');
    expect(
      chooseKeeper(SELF, [candidate('a', 8, 0, 40), candidate('b', 8, 0, 3)]),
    ).toBe('b');
  });

  it('stays local when another instance has only slightly less load', () => {
    expect(
      chooseKeeper(SELF, [candidate('a', 8, 0, 10), candidate('b', 8, 0, 9)]),
    ).toBe('a');
  });

  it('never chooses an instance without slots', () => {
    const candidateArbitrary = fc.record({
      instanceId: fc.constantFrom('a', 'b', 'c') as fc.Arbitrary<InstanceId>,
      slots: fc.nat(10),
      free: fc.nat(10),
      workOfKind: fc.nat(100),
    });
    fc.assert(
      fc.property(
        fc.uniqueArray(candidateArbitrary, {selector: c => c.instanceId}),
        candidates => {
          const withSlots = candidates.filter(c => c.slots > 0);
          const choice = chooseKeeper(SELF, candidates);
          expect(withSlots.some(c => c.instanceId === choice)).toBe(
            withSlots.length > 0,
          );
        },
      ),
      {seed: 17},
    );
  });
});
