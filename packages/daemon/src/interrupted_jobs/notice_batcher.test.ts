import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {NoticeBatcher} from './notice_batcher.js';

const INTERVAL_MS = 50;
const LIMITS = {
  delayMs: 1,
  intervalMs: () => INTERVAL_MS,
  burst: 3,
  maxItems: 4,
};

function createBatcher(clock: VirtualClock): {
  readonly batcher: NoticeBatcher<number>;
  readonly sent: Array<readonly number[]>;
} {
  const sent: Array<readonly number[]> = [];
  const send = (items: readonly number[]): void => void sent.push(items);
  return {batcher: NoticeBatcher.create(clock, {...LIMITS, send}), sent};
}

describe('NoticeBatcher', () => {
  it('sends the items of one moment together', async () => {
    const clock = VirtualClock.create();
    const {batcher, sent} = createBatcher(clock);
    batcher.add([1]);
    batcher.add([2, 3]);
    await clock.advance(1);
    expect(sent).toEqual([[1, 2, 3]]);
  });

  it('sends no more than a burst and one notice an interval', async () => {
    const clock = VirtualClock.create();
    const {batcher, sent} = createBatcher(clock);
    for (let ms = 0; ms < 500; ms++) {
      batcher.add([ms]);
      await clock.advance(1);
    }
    expect(sent.length).toBeGreaterThanOrEqual(500 / INTERVAL_MS);
    expect(sent.length).toBeLessThanOrEqual(LIMITS.burst + 500 / INTERVAL_MS);
  });

  it('sends a notice that is due at once, in its rate', async () => {
    const clock = VirtualClock.create();
    const {batcher, sent} = createBatcher(clock);
    batcher.flush();
    for (let n = 1; n <= LIMITS.burst + 1; n++) {
      batcher.add([n]);
      batcher.flush();
    }
    expect(sent).toEqual([[1], [2], [3]]);
    await clock.advance(INTERVAL_MS);
    expect(sent).toEqual([[1], [2], [3], [4]]);
    batcher.add([5]);
    await clock.advance(INTERVAL_MS);
    expect(sent).toHaveLength(5);
  });

  it('drops the oldest items of a notice that is full', async () => {
    const clock = VirtualClock.create();
    const {batcher, sent} = createBatcher(clock);
    batcher.add([1, 2, 3, 4, 5, 6]);
    await clock.advance(1);
    expect(sent).toEqual([[3, 4, 5, 6]]);
  });

  it('passes on the items that it has dropped', () => {
    const dropped: number[] = [];
    const batcher = NoticeBatcher.create<number>(VirtualClock.create(), {
      ...LIMITS,
      send: () => undefined,
      onDropped: items => dropped.push(...items),
    });
    batcher.add([1, 2, 3]);
    batcher.add([4, 5, 6]);
    expect(dropped).toEqual([1, 2]);
  });
});
