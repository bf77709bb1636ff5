import {expect, it} from 'vitest';
import {runsEndAfterLossMs} from './runs_end_after_loss_ms.js';

const TIMING = {maxLeaseMs: 980, stopMs: 50, reportMs: 0};

it('covers leases that are renewed while the loss is not certain', () => {
  expect(runsEndAfterLossMs({...TIMING, resendMs: 1_300})).toBe(1_250);
});

it('covers the lease of a lost scheduler', () => {
  expect(runsEndAfterLossMs({...TIMING, resendMs: 600})).toBeCloseTo(1_050);
  expect(runsEndAfterLossMs(TIMING)).toBeCloseTo(1_050);
});
