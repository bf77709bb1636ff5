import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {valueWithin} from './value_within.js';

describe('valueWithin', () => {
  it('ends the wait for a value that never arrives', async () => {
    const clock = VirtualClock.create();
    const value = valueWithin(clock, new Promise<string>(() => undefined), 50);
    await clock.advance(50);
    expect(await value).toBeUndefined();
  });

  it('returns a value at once, also without time to wait', async () => {
    const clock = VirtualClock.create();
    expect(await valueWithin(clock, Promise.resolve('a'), -1)).toBe('a');
  });
});
