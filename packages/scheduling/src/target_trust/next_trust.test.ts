import {describe, expect, it} from 'vitest';
import {nextTrust} from './next_trust.js';
import type {TargetTrust} from './target_trust.js';

const SOUND: TargetTrust = {kind: 'sound'};

describe('nextTrust', () => {
  it('ejects a target that fails everything, for ever longer', () => {
    let trust = nextTrust(SOUND, 'failed', 0);
    expect(trust.kind).toBe('suspect');
    const pauses: number[] = [];
    for (let i = 0; i < 5; i++) {
      trust = nextTrust(trust, 'failed', 0);
      pauses.push(trust.kind === 'ejected' ? trust.untilMs : 0);
    }
    expect(pauses).toEqual([500, 1_000, 2_000, 4_000, 4_000]);
  });

  it('tries it again after the pause, and trusts it after one success', () => {
    const ejected: TargetTrust = {kind: 'ejected', failures: 2, untilMs: 500};
    expect(nextTrust(ejected, 'timePassed', 499)).toBe(ejected);
    const suspect = nextTrust(ejected, 'timePassed', 500);
    expect(suspect).toEqual({kind: 'suspect', failures: 2});
    expect(nextTrust(suspect, 'succeeded', 600)).toEqual(SOUND);
  });
});
