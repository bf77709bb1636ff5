import type {KindId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {RunTimeEstimator} from './run_time_estimator.js';

const KIND = 'relato' as KindId;

describe('RunTimeEstimator', () => {
  it('returns the declared time before the first sample', () => {
    expect(RunTimeEstimator.create().estimateMs(KIND, 80)).toBe(80);
  });

  it('learns the usual bias of declared times', () => {
    const estimator = RunTimeEstimator.create();
    const random = SeededRandom.create(7);
    for (let i = 0; i < 300; i++) {
      const ranMs = 100 * Math.exp(0.4 * (random.next() - 0.5));
      estimator.addSample(KIND, ranMs / 10, ranMs);
    }
    expect(estimator.hasEnoughSamples(KIND)).toBe(true);
    // A declared time that is exact except for the bias gets a high weight.
    expect(estimator.estimateMs(KIND, 9)).toBeGreaterThan(85);
    expect(estimator.estimateMs(KIND, 9)).toBeLessThan(95);
  });

  it('ignores declared times that are unrelated to the run times', () => {
    const estimates = RunTimeEstimator.create();
    const random = SeededRandom.create(8);
    for (let i = 0; i < 300; i++) {
      estimates.addSample(KIND, 1 + 1_000 * random.next(), 100);
    }
    expect(estimates.estimateMs(KIND, 5_000)).toBeLessThan(130);
  });
});
