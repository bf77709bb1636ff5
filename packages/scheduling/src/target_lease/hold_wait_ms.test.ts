import {describe, expect, it} from 'vitest';
import {holdWaitMs} from './hold_wait_ms.js';

const TIMING = {maxLeaseMs: 1_000, stopMs: 50};

describe('holdWaitMs', () => {
  // A hold that waits past the lease would let all runs lapse.
  it('answers before the lease ends', () => {
    expect(holdWaitMs(400, TIMING)).toBeLessThan(400);
    expect(holdWaitMs(5_000, TIMING)).toBe(holdWaitMs(1_000, TIMING));
  });

  it('counts a hold without a lease like one with the longest', () => {
    expect(holdWaitMs(undefined, TIMING)).toBe(holdWaitMs(1_000, TIMING));
  });

  // Holds without a pause would load the target and the event loop.
  it('waits no shorter than a target takes to stop a run', () => {
    expect(holdWaitMs(1, TIMING)).toBe(50);
    expect(holdWaitMs(-100, TIMING)).toBe(50);
  });
});
