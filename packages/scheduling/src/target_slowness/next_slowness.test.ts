import type {KindId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {RunTimeEstimator} from '../run_time_estimator/run_time_estimator.js';
import {nextSlowness} from './next_slowness.js';

const KIND = 'relato' as KindId;
const RUN_MS = 60;
const RUNS = 20_000;

describe('nextSlowness', () => {
  it('follows the slowness of a target up and down', () => {
    let slowness = 1;
    for (let n = 0; n < 40; n++) {
      slowness = nextSlowness(slowness, 6);
    }
    expect(slowness).toBeGreaterThan(4);
    for (let n = 0; n < 40; n++) {
      slowness = nextSlowness(slowness, 1);
    }
    expect(slowness).toBeLessThan(1.1);
  });

  it('does not drift from stragglers, in expected run times or in slowness', () => {
    const random = SeededRandom.create(11);
    const estimator = RunTimeEstimator.create();
    const slownesses = Array.from({length: 11}, () => 1);
    for (let n = 0; n < RUNS; n++) {
      const target = Math.floor(random.next() * slownesses.length);
      const expectedMs = estimator.estimateMs(KIND, RUN_MS);
      // One run in fifty hangs and is stopped, which counts only for the
      // slowness.
      if (random.next() < 0.02) {
        slownesses[target] = nextSlowness(slownesses[target]!, 4);
        continue;
      }
      const ranMs = RUN_MS * (0.8 + 0.4 * random.next());
      estimator.addSample(KIND, RUN_MS, ranMs / slownesses[target]!);
      slownesses[target] = nextSlowness(
        slownesses[target]!,
        ranMs / expectedMs,
      );
    }
    const mean =
      slownesses.reduce((sum, slowness) => sum + slowness, 0) /
      slownesses.length;
    expect(mean).toBeGreaterThan(0.75);
    expect(mean).toBeLessThan(1.4);
    const expectedMs = estimator.estimateMs(KIND, RUN_MS);
    expect(expectedMs / RUN_MS).toBeGreaterThan(0.7);
    expect(expectedMs / RUN_MS).toBeLessThan(1.3);
  });
});
