import type {Resources, TaskId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {countSlots} from './count_slots.js';

function ofCores(cores: number): Resources {
  return {cores, memoryMb: 0, accelerators: 0};
}

function targetOf(
  free: number,
  runs: readonly number[],
): Parameters<typeof countSlots>[0][number] {
  return {
    free: ofCores(free),
    session: {
      report: {capacity: ofCores(32)},
      runs: new Map(
        runs.map((cores, n) => [`${n}` as TaskId, {needs: ofCores(cores)}]),
      ),
    },
  };
}

describe('countSlots', () => {
  // Slots would be reserved on idle targets, which need no reserve.
  it('sees no bound while nothing runs', () => {
    expect(countSlots([targetOf(32, [])]).freeSlots).toBe(Infinity);
  });

  it('counts whole slots of the mean size on each target', () => {
    const targets = [targetOf(8, [8, 16]), targetOf(20, [12])];
    expect(countSlots(targets)).toEqual({totalSlots: 4, freeSlots: 1});
  });
});
