import {describe, expect, it} from 'vitest';
import {retryDelayMs} from './retry_delay_ms.js';

describe('retryDelayMs', () => {
  // A single lost answer would leave a target without new runs for a while.
  it('repeats the first unanswered hold at once', () => {
    expect(retryDelayMs(1, true)).toBe(0);
    expect(retryDelayMs(1, false)).toBe(0);
  });

  // Runs on a target that answers again would lapse.
  it('keeps asking a target with runs at short intervals', () => {
    expect(retryDelayMs(2, true)).toBe(retryDelayMs(20, true));
  });

  // Holds to many lost targets would take the time of the event loop.
  it('asks an idle target less often, up to a bound', () => {
    expect(retryDelayMs(3, false)).toBeGreaterThan(retryDelayMs(2, false));
    expect(retryDelayMs(50, false)).toBe(retryDelayMs(8, false));
  });
});
