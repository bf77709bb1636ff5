import type {KindId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {RunEstimates} from './run_estimates.js';

const KIND = 'relato' as KindId;

describe('RunEstimates', () => {
  it('begins with what is declared', () => {
    expect(RunEstimates.create().expect(KIND, 80)).toBe(80);
  });

  it('learns a usual bias of declared times', () => {
    const estimates = RunEstimates.create();
    const random = SeededRandom.create(7);
    for (let i = 0; i < 300; i++) {
      const ranMs = 100 * Math.exp(0.4 * (random.next() - 0.5));
      estimates.learn(KIND, ranMs / 10, ranMs);
    }
    expect(estimates.isSettled(KIND)).toBe(true);
    // A declared time that was right but for the bias is believed.
    expect(estimates.expect(KIND, 9)).toBeGreaterThan(85);
    expect(estimates.expect(KIND, 9)).toBeLessThan(95);
  });

  it('does not believe declared times that say nothing', () => {
    const estimates = RunEstimates.create();
    const random = SeededRandom.create(8);
    for (let i = 0; i < 300; i++) {
      estimates.learn(KIND, 1 + 1_000 * random.next(), 100);
    }
    expect(estimates.expect(KIND, 5_000)).toBeLessThan(130);
  });
});
