import {describe, expect, it} from 'vitest';
import {currentEvacuationPhase} from './current_evacuation_phase.js';

const TIMING = {graceMs: 2_500, returnMs: 2_000};

describe('currentEvacuationPhase', () => {
  it('is in service where no order is known', () => {
    expect(currentEvacuationPhase(undefined, TIMING, 0)).toEqual({
      kind: 'inService',
    });
  });

  // A job of which only some tasks had started would be lost without it.
  it('lets jobs that have begun go on for the grace period only', () => {
    const known = {isEvacuated: true, learnedMs: 1_000};
    const kindAt = (ms: number): string =>
      currentEvacuationPhase(known, TIMING, ms).kind;
    expect(kindAt(1_000)).toBe('leaving');
    expect(kindAt(3_499)).toBe('leaving');
    expect(kindAt(3_500)).toBe('evacuated');
    expect(kindAt(100_000)).toBe('evacuated');
  });

  // All targets of the data centre would be filled at once while they are cold.
  it('takes the targets back by degrees, a quarter of them at once', () => {
    const known = {isEvacuated: false, learnedMs: 1_000};
    const shares = [1_000, 2_000, 2_999].map(ms => {
      const phase = currentEvacuationPhase(known, TIMING, ms);
      return phase.kind === 'returning' ? phase.share : undefined;
    });
    expect(shares[0]).toBe(0.25);
    expect(shares[1]).toBe(0.625);
    expect(shares[2]).toBeCloseTo(1, 2);
    expect(currentEvacuationPhase(known, TIMING, 3_000).kind).toBe('inService');
  });
});
