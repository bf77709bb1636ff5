import type {TargetId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {chooseTarget} from './choose_target.js';
import type {TargetCandidate} from './target_candidate.js';

const NEEDS = {cores: 14, memoryMb: 64, accelerators: 0};

function candidate(
  id: string,
  overrides: Partial<TargetCandidate> = {},
): TargetCandidate {
  return {
    targetId: id as TargetId,
    free: {cores: 32, memoryMb: 1_024, accelerators: 0},
    slowness: 1,
    isSuspect: false,
    runs: 0,
    ...overrides,
  };
}

describe('chooseTarget', () => {
  it('prefers the least free capacity among equally fast targets', () => {
    const tight = candidate('b', {
      free: {cores: 16, memoryMb: 1_024, accelerators: 0},
    });
    expect(chooseTarget([candidate('a'), tight], NEEDS)).toBe(tight);
  });

  it('prefers a faster target, and a sound one to any suspect one', () => {
    const slow = candidate('a', {slowness: 6});
    const suspect = candidate('b', {isSuspect: true, slowness: 0.8});
    const usual = candidate('c');
    expect(chooseTarget([slow, suspect, usual], NEEDS)).toBe(usual);
    expect(chooseTarget([slow, suspect], NEEDS)).toBe(slow);
  });

  it('gives a suspect target one run at a time', () => {
    const suspect = candidate('a', {isSuspect: true, runs: 1});
    expect(chooseTarget([suspect], NEEDS)).toBeUndefined();
  });

  it('returns undefined if the task fits on no target', () => {
    const full = candidate('a', {
      free: {cores: 32, memoryMb: 1, accelerators: 0},
    });
    expect(chooseTarget([full], NEEDS)).toBeUndefined();
  });
});
