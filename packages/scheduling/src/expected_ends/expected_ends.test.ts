import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {expectedEnds} from './expected_ends.js';

describe('expectedEnds', () => {
  it('uses the slot that is free earliest for each task', () => {
    expect(expectedEnds([0, 40], [], [60, 60])).toEqual([60, 100]);
    expect(expectedEnds([0, 40], [60], [60])).toEqual([100]);
  });

  it('returns infinity without slots', () => {
    expect(expectedEnds([], [], [1])).toEqual([Infinity]);
  });

  it('gives the same ends as a direct simulation', () => {
    const times = fc.array(fc.nat(1_000), {maxLength: 12});
    const places = fc.array(fc.nat(1_000), {minLength: 1, maxLength: 12});
    fc.assert(
      fc.property(places, times, times, (free, ahead, own) => {
        const busy = [...free];
        const run = (ms: number): number => {
          const at = busy.indexOf(Math.min(...busy));
          busy[at] = busy[at]! + ms;
          return busy[at];
        };
        ahead.forEach(run);
        expect(expectedEnds(free, ahead, own)).toEqual(own.map(run));
      }),
    );
  });
});
