import {expect, it} from 'vitest';
import {longestLeaseMs} from './longest_lease_ms.js';

it('allows for a clock that runs slow and for the stop', () => {
  const timing = {maxLeaseMs: 980, stopMs: 50, reportMs: 0};
  expect(longestLeaseMs(timing)).toBeCloseTo(1_050);
});
