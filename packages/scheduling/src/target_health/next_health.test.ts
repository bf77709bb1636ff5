import {describe, expect, it} from 'vitest';
import {nextHealth} from './next_health.js';
import type {TargetHealth} from './target_health.js';

const SOUND: TargetHealth = {kind: 'sound'};

describe('nextHealth', () => {
  it('doubles the ejections of a target on which all runs fail, up to a limit', () => {
    let health = nextHealth(SOUND, 'failed', 0);
    expect(health.kind).toBe('suspect');
    const ejectionsMs: number[] = [];
    for (let i = 0; i < 5; i++) {
      health = nextHealth(health, 'failed', 0);
      ejectionsMs.push(health.kind === 'ejected' ? health.untilMs : 0);
    }
    expect(ejectionsMs).toEqual([500, 1_000, 2_000, 4_000, 4_000]);
  });

  it('makes a target suspect after its ejection, and sound after one success', () => {
    const ejected: TargetHealth = {kind: 'ejected', failures: 2, untilMs: 500};
    expect(nextHealth(ejected, 'timePassed', 499)).toBe(ejected);
    const suspect = nextHealth(ejected, 'timePassed', 500);
    expect(suspect).toEqual({kind: 'suspect', failures: 2});
    expect(nextHealth(suspect, 'succeeded', 600)).toEqual(SOUND);
  });
});
