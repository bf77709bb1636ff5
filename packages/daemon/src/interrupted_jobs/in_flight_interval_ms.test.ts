import {expect, it} from 'vitest';
import {inFlightIntervalMs} from './in_flight_interval_ms.js';

it.each([1, 6, 100])(
  'asks %i entries for no more than a thousand notices a second',
  entries => {
    const noticesPerMs = entries / inFlightIntervalMs(entries);
    expect(noticesPerMs).toBeLessThanOrEqual(1);
  },
);

it('asks few entries for notices within a few milliseconds', () => {
  expect(inFlightIntervalMs(1)).toBe(5);
});
