import {SystemClock} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {afterNextReading} from './after_next_reading.js';

const PAUSE_MS = 100;

it('returns a time before a pause that falls between the reading and its return', async () => {
  const clock = SystemClock.create();
  const reading = afterNextReading(clock);
  let pausedAtMs = Infinity;
  setImmediate(() => {
    pausedAtMs = clock.now();
    while (clock.now() < pausedAtMs + PAUSE_MS) {
      // Stands still.
    }
  });
  expect(await reading).toBeLessThanOrEqual(pausedAtMs);
});

it('returns a time after its call', async () => {
  const clock = SystemClock.create();
  const calledMs = clock.now();
  expect(await afterNextReading(clock)).toBeGreaterThanOrEqual(calledMs);
});
