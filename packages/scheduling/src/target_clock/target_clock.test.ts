import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {TargetClock} from './target_clock.js';

describe('TargetClock', () => {
  it('never counts a lease as expired while it is valid on a slow target clock', () => {
    fc.assert(
      fc.property(
        fc.double({min: 0.98, max: 1, noNaN: true}),
        fc.integer({min: 0, max: 100_000}),
        fc.integer({min: 1, max: 2_000}),
        fc.integer({min: 0, max: 5_000}),
        (rate, offset, leaseMs, laterMs) => {
          const clock = TargetClock.create();
          const targetTimeAt = (nowMs: number): number => offset + rate * nowMs;
          clock.addReading(targetTimeAt(0), 0);
          const leaseEndMs = targetTimeAt(laterMs) + leaseMs;
          const expiredByMs = clock.latestLocalTimeOf(leaseEndMs);
          expect(targetTimeAt(expiredByMs)).toBeGreaterThanOrEqual(
            leaseEndMs - 1e-6,
          );
        },
      ),
    );
  });
});
