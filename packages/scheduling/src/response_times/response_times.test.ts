import {describe, expect, it} from 'vitest';
import {ResponseTimes} from './response_times.js';

describe('ResponseTimes', () => {
  it('keeps the shortest timeout while answers are quick', () => {
    const times = ResponseTimes.create(40);
    expect(times.timeoutMs).toBe(40);
    for (let n = 0; n < 100; n++) {
      times.add(3 + (n % 3));
    }
    expect(times.timeoutMs).toBe(40);
  });

  it('allows for answers that all come late, and returns when they no longer do', () => {
    const times = ResponseTimes.create(40);
    for (let n = 0; n < 20; n++) {
      times.add(100);
    }
    expect(times.timeoutMs).toBeGreaterThan(100);
    for (let n = 0; n < 60; n++) {
      times.add(4);
    }
    expect(times.timeoutMs).toBe(40);
  });

  // The deviation is close to 0 after many answers at about the same time, and all
  // orders of the next round were given up that were answered a few ms later.
  it('allows for answers that come somewhat later than equal ones before them', () => {
    const times = ResponseTimes.create(40);
    for (let n = 0; n < 200; n++) {
      times.add(80);
    }
    expect(times.timeoutMs).toBeGreaterThanOrEqual(100);
    expect(times.timeoutMs).toBeLessThanOrEqual(120);
  });

  it('never waits longer than the longest timeout', () => {
    const times = ResponseTimes.create(40);
    for (let n = 0; n < 50; n++) {
      times.add(n % 2 === 0 ? 10 : 5_000);
    }
    expect(times.timeoutMs).toBe(250);
  });
});
