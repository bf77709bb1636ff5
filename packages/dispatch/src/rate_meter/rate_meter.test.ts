import {describe, expect, it} from 'vitest';
import {RateMeter} from './rate_meter.js';

describe('RateMeter', () => {
  it('counts the events of the last two seconds', () => {
    const meter = RateMeter.create();
    for (let ms = 0; ms < 5_000; ms += 20) {
      meter.record(ms);
    }
    expect(meter.perSecond(4_999)).toBe(50);
    expect(meter.perSecond(5_499)).toBeGreaterThan(0);
    expect(meter.perSecond(7_000)).toBe(0);
  });

  it('forgets old events after a long time without events', () => {
    const meter = RateMeter.create();
    meter.record(100);
    meter.record(3_600_000);
    expect(meter.perSecond(3_600_000)).toBe(0.5);
  });
});
