import type {Clock} from '@papayarun/protocol';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {LoopLagMeter} from './loop_lag_meter.js';

/** Clock whose sleeps take longer than asked, as on a busy event loop. */
class LateClock implements Clock {
  lateMs = 0;

  constructor(private readonly base: VirtualClock) {}

  now(): number {
    return this.base.now();
  }

  wallNow(): number {
    return this.base.wallNow();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.base.sleep(ms + this.lateMs, signal);
  }
}

describe('LoopLagMeter', () => {
  it('reports the lag of late timers, also before an overdue one has fired, and forgets it', async () => {
    const base = VirtualClock.create();
    const clock = new LateClock(base);
    const meter = LoopLagMeter.create(clock, SilentLog.create());
    expect(meter.lagMs).toBe(0);
    meter.start();
    await base.advance(500);
    expect(meter.lagMs).toBe(0);
    clock.lateMs = 300;
    await base.advance(100 + 100 + 120);
    expect(meter.lagMs).toBeGreaterThan(100);
    await base.advance(400);
    expect(meter.lagMs).toBe(300);
    clock.lateMs = 0;
    await base.advance(2_000);
    expect(meter.lagMs).toBeLessThan(1);
    meter.stop();
  });
});
