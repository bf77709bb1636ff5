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
          clock.addReading(targetTimeAt(0), 0, 0);
          const leaseEndMs = targetTimeAt(laterMs) + leaseMs;
          const expiredByMs = clock.latestLocalTimeOf(leaseEndMs);
          expect(targetTimeAt(expiredByMs)).toBeGreaterThanOrEqual(
            leaseEndMs - 1e-6,
          );
        },
      ),
    );
  });

  it('is never ahead of a slow target clock', () => {
    fc.assert(
      fc.property(
        fc.double({min: 0.98, max: 1, noNaN: true}),
        fc.integer({min: 0, max: 100_000}),
        fc.integer({min: 0, max: 500_000}),
        (rate, offset, laterMs) => {
          const clock = TargetClock.create();
          clock.addReading(offset, 0, 0);
          const targetMs = offset + rate * laterMs;
          expect(clock.at(laterMs)).toBeLessThanOrEqual(targetMs + 1e-6);
          expect(clock.at(laterMs)).toBeGreaterThanOrEqual(
            targetMs - 2 * clock.maxErrorMs(laterMs) - 1,
          );
        },
      ),
    );
  });

  // Answers on different connections may overtake each other.
  it('takes no reading of a steady clock for that of a restarted one', () => {
    const times = fc.tuple(
      fc.integer({min: 0, max: 5_000}),
      fc.integer({min: 0, max: 2_000}),
      fc.integer({min: 0, max: 2_000}),
    );
    fc.assert(
      fc.property(
        fc.double({min: 0.98, max: 1, noNaN: true}),
        times,
        times,
        (rate, first, second) => {
          const clock = TargetClock.create();
          const read = ([sentMs, thereMs, backMs]: typeof first) => ({
            targetMs: Math.floor(rate * (sentMs + thereMs)),
            sentMs,
            nowMs: sentMs + thereMs + backMs,
          });
          const [a, b] = [read(first), read(second)].sort(
            (x, y) => x.nowMs - y.nowMs,
          );
          clock.addReading(a!.targetMs, a!.sentMs, a!.nowMs);
          expect(clock.isContradictedBy(b!.targetMs, b!.sentMs, b!.nowMs)).toBe(
            false,
          );
        },
      ),
    );
  });

  it('tells the clock of a restarted target by its age', () => {
    const clock = TargetClock.create();
    clock.addReading(60_000, 0, 10);
    expect(clock.isContradictedBy(1_000, 500, 520)).toBe(true);
    expect(clock.isContradictedBy(90_000, 500, 520)).toBe(true);
    clock.reset();
    expect(clock.isContradictedBy(1_000, 500, 520)).toBe(false);
  });
});
