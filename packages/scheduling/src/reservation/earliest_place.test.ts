import {describe, expect, it} from 'vitest';
import {earliestPlace} from './earliest_place.js';

const cores = (n: number): {cores: number; memoryMb: 0; accelerators: 0} => ({
  cores: n,
  memoryMb: 0,
  accelerators: 0,
});
const LATE = {
  free: cores(8),
  ends: [{atMs: 90, freed: cores(56)}],
};
const TWO_ENDS = {
  free: cores(0),
  ends: [
    {atMs: 20, freed: cores(32)},
    {atMs: 70, freed: cores(32)},
  ],
};

// Guards against a large task that waits while small ones take each gap.
describe('earliestPlace', () => {
  it('finds the target on which several ends make room first', () => {
    const found = earliestPlace(cores(48), [LATE, TWO_ENDS]);
    expect(found?.place).toBe(TWO_ENDS);
    expect(found?.reservation).toEqual({atMs: 70, spare: cores(16)});
  });

  it('takes the target with the least left beside the task at the same time', () => {
    const snug = {...LATE, ends: [{atMs: 90, freed: cores(44)}]};
    expect(earliestPlace(cores(48), [LATE, snug])?.place).toBe(snug);
  });

  it('finds none for a task that is larger than all targets', () => {
    expect(earliestPlace(cores(80), [LATE, TWO_ENDS])).toBeUndefined();
  });
});
