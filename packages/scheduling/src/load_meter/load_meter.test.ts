import {describe, expect, it} from 'vitest';
import {LoadMeter} from './load_meter.js';

describe('LoadMeter', () => {
  it('converges to the number of slots that urgent work keeps busy', () => {
    const meter = LoadMeter.create();
    for (let nowMs = 0; nowMs < 6_000; nowMs += 10) {
      meter.add(0, 50, nowMs);
    }
    expect(meter.loadAbove(1, 6_000)).toBeGreaterThan(4.7);
    expect(meter.loadAbove(1, 6_000)).toBeLessThan(5.3);
    expect(meter.loadAbove(0, 6_000)).toBe(0);
    expect(meter.loadAbove(1, 16_000)).toBeLessThan(0.01);
  });
});
