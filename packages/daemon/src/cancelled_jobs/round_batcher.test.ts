import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {RoundBatcher} from './round_batcher.js';

const TIMING = {delayMs: 2, intervalMs: () => 50};

describe('RoundBatcher', () => {
  it('sends no more rounds for more items', async () => {
    const clock = VirtualClock.create();
    const sizes: number[] = [];
    const rounds = RoundBatcher.create<number, void>(clock, {
      ...TIMING,
      send: items => {
        sizes.push(items.length);
        return Promise.resolve();
      },
    });
    for (let n = 0; n < 1_000; n++) {
      void rounds.add([n]);
      await clock.advance(0.1);
    }
    await clock.advance(50);
    expect(sizes.length).toBeLessThanOrEqual(4);
    expect(sizes.reduce((sum, size) => sum + size)).toBe(1_000);
  });

  it('gives no item the result of a round that began before it', async () => {
    const clock = VirtualClock.create();
    const rounds = RoundBatcher.create<string, string>(clock, {
      ...TIMING,
      send: async items => {
        await clock.sleep(100);
        return items.join();
      },
    });
    const first = rounds.add(['a']);
    await clock.advance(10);
    const second = rounds.add(['b']);
    const third = rounds.add(['c']);
    await clock.advance(300);
    expect(await Promise.all([first, second, third])).toEqual([
      'a',
      'b,c',
      'b,c',
    ]);
  });

  it('goes on after a round that failed', async () => {
    const clock = VirtualClock.create();
    let count = 0;
    const rounds = RoundBatcher.create<number, number>(clock, {
      ...TIMING,
      send: () =>
        ++count === 1 ? Promise.reject(new Error('lost')) : Promise.resolve(7),
    });
    const first = rounds.add([1]).catch((err: Error) => err.message);
    await clock.advance(10);
    const second = rounds.add([2]);
    await clock.advance(100);
    expect(await Promise.all([first, second])).toEqual(['lost', 7]);
  });
});
