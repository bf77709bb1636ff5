import {describe, expect, it} from 'vitest';
import {yieldTimes} from './yield_times.js';

const LARGE = {slots: 24, workMs: 24_000, criticalPathMs: 60, endByMs: 6_000};

// Guards against jobs of one task that are refused behind a large job with time to
// spare, and against a large job that starves behind them.
describe('yieldTimes', () => {
  it('lets others go first for as long as a large job can still be done after', () => {
    expect(yieldTimes(LARGE)).toEqual({
      yieldsUntilMs: 4_834,
      lateFromMs: 4_940,
    });
  });

  it('yields longer with less work left', () => {
    const {yieldsUntilMs} = yieldTimes({...LARGE, workMs: 2_400});
    expect(yieldsUntilMs).toBeGreaterThan(5_500);
  });

  it('leaves time between yielding and being late, in which the job is served', () => {
    const {yieldsUntilMs, lateFromMs} = yieldTimes({...LARGE, slots: 1});
    expect(yieldsUntilMs).toBeLessThan(lateFromMs);
  });
});
