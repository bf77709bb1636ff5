import type {KindId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {RunEstimates} from '../run_estimates/run_estimates.js';
import {nextSlowness} from './next_slowness.js';

const KIND = 'relato' as KindId;
const RUN_MS = 60;
const RUNS = 20_000;

describe('nextSlowness', () => {
  it('comes near the slowness of a slow target, and back', () => {
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

  it('replays a day of stragglers: run times and slowness stay where they are', () => {
    const random = SeededRandom.create(11);
    const estimates = RunEstimates.create();
    const paces = Array.from({length: 11}, () => 1);
    for (let n = 0; n < RUNS; n++) {
      const at = Math.floor(random.next() * paces.length);
      const expectedMs = estimates.expect(KIND, RUN_MS);
      // One run in fifty hangs: it is stopped, and only its target learns.
      if (random.next() < 0.02) {
        paces[at] = nextSlowness(paces[at]!, 4);
        continue;
      }
      const ranMs = RUN_MS * (0.8 + 0.4 * random.next());
      estimates.learn(KIND, RUN_MS, ranMs / paces[at]!);
      paces[at] = nextSlowness(paces[at]!, ranMs / expectedMs);
    }
    const mean = paces.reduce((sum, pace) => sum + pace, 0) / paces.length;
    expect(mean).toBeGreaterThan(0.75);
    expect(mean).toBeLessThan(1.4);
    const expectedMs = estimates.expect(KIND, RUN_MS);
    expect(expectedMs / RUN_MS).toBeGreaterThan(0.7);
    expect(expectedMs / RUN_MS).toBeLessThan(1.3);
  });
});
