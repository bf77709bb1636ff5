import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {expectedWait} from './expected_wait.js';

const INPUT = {
  queuedAhead: 9,
  runMs: 100,
  slots: 10,
  weight: 1,
  activeWeight: 1,
  startsPerSecond: 0,
};

describe('expectedWait', () => {
  it('is derived from the share of the slots', () => {
    expect(expectedWait(INPUT)).toBe(100);
    expect(expectedWait({...INPUT, activeWeight: 4})).toBe(400);
    expect(expectedWait({...INPUT, slots: 0})).toBe(Infinity);
  });

  it('uses the measured rate if it is higher than the guaranteed one', () => {
    expect(expectedWait({...INPUT, activeWeight: 4, startsPerSecond: 50})).toBe(
      200,
    );
  });

  it('ignores a measured rate that is low because little work of the kind arrived', () => {
    expect(expectedWait({...INPUT, startsPerSecond: 3})).toBe(100);
  });

  it('grows with the work ahead', () => {
    fc.assert(
      fc.property(fc.nat(1_000), fc.nat(1_000), (a, b) => {
        const [less, more] = a < b ? [a, b] : [b, a];
        expect(expectedWait({...INPUT, queuedAhead: less})).toBeLessThanOrEqual(
          expectedWait({...INPUT, queuedAhead: more}),
        );
      }),
      {seed: 72},
    );
  });
});
