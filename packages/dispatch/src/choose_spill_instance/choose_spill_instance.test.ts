import type {InstanceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {chooseSpillInstance} from './choose_spill_instance.js';
import type {SpillCandidate} from './spill_candidate.js';

function candidate(id: string, free: number, isLinked = true): SpillCandidate {
  return {instanceId: id as InstanceId, free, isLinked};
}

describe('chooseSpillInstance', () => {
  it('does not spill to a live peer whose link is lost', () => {
    expect(
      chooseSpillInstance([candidate('a', 24, false), candidate('b', 3)]),
    ).toBe('b');
    expect(chooseSpillInstance([candidate('a', 24, false)])).toBeUndefined();
  });

  it('chooses the most free slots, and none without a free slot', () => {
    expect(
      chooseSpillInstance([
        candidate('a', 2),
        candidate('b', 7),
        candidate('c', 5),
      ]),
    ).toBe('b');
    expect(
      chooseSpillInstance([candidate('a', 0), candidate('b', -3)]),
    ).toBeUndefined();
  });
});
