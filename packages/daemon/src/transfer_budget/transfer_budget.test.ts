import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';
import {TransferBudget} from './transfer_budget.js';
import type {Transfer} from './transfer.js';
import type {TransferEnd} from './transfer_end.js';

const KIB = 1024;
const TOTAL_BYTES = 1_000 * KIB;

describe('TransferBudget', () => {
  let nowMs: number;
  let budget: TransferBudget;
  let ended: Array<[string, TransferEnd]>;

  beforeEach(() => {
    nowMs = 0;
    ended = [];
    budget = TransferBudget.create(TOTAL_BYTES, () => nowMs);
  });

  const owner = {};

  const start = (name: string): Transfer =>
    budget.start(owner, cause => ended.push([name, cause]));

  // A crowd of large unfinished bodies locked out every ordinary caller.
  it('keeps a quarter for small requests', () => {
    expect(start('large').reserve(750 * KIB)).toBe(true);
    expect(start('other large').reserve(100 * KIB)).toBe(false);
    for (let n = 0; n < 10; n++) {
      expect(start(`small ${n}`).reserve(24 * KIB)).toBe(true);
    }
    expect(ended).toEqual([]);
  });

  it('ends the slowest transfer for one that needs its memory', () => {
    const [slow, fast] = [start('slow'), start('fast')];
    expect(slow.reserve(300 * KIB)).toBe(true);
    expect(fast.reserve(300 * KIB)).toBe(true);
    slow.received(100);
    fast.received(300 * KIB);
    nowMs = 150;
    expect(start('new').reserve(300 * KIB)).toBe(true);
    expect(ended).toEqual([['slow', 'evicted']]);
    expect(budget.bytesInUse).toBe(600 * KIB);
  });

  it('refuses, rather than ends a transfer that has just begun', () => {
    expect(start('first').reserve(600 * KIB)).toBe(true);
    nowMs = 50;
    expect(start('second').reserve(600 * KIB)).toBe(false);
    expect(ended).toEqual([]);
  });

  // What is said of a refused job, that it has not run, must be true.
  it('never ends a request whose body is whole', () => {
    const whole = start('whole');
    expect(whole.reserve(700 * KIB)).toBe(true);
    whole.startHandling();
    nowMs = 60_000;
    budget.endSlow();
    expect(budget.endSlowest(owner, 0)).toBe(false);
    expect(start('new').reserve(700 * KIB)).toBe(false);
    expect(ended).toEqual([]);
  });

  it('ends an answer that is not read, and a body that stops', () => {
    const [unread, stopped, slow] = ['unread', 'stopped', 'slow'].map(
      start,
    ) as [Transfer, Transfer, Transfer];
    unread.startHandling();
    nowMs = 5_000;
    unread.startSending(100);
    stopped.received(1_000);
    slow.received(640_000);
    nowMs = 10_500;
    budget.endSlow();
    expect(ended).toEqual([['stopped', 'tooSlow']]);
    nowMs = 15_500;
    budget.endSlow();
    expect(ended.slice(1)).toEqual([['unread', 'tooSlow']]);
    nowMs = 20_500;
    budget.endSlow();
    expect(ended.slice(2)).toEqual([['slow', 'tooSlow']]);
  });

  // A busy listener must not close the connections of another one.
  it('frees connections of the listener that needs them', () => {
    const other = {};
    budget.start(other, cause => ended.push(['other', cause]));
    nowMs = 1_000;
    start('own');
    nowMs = 2_500;
    expect(budget.endSlowest(owner, 2_000)).toBe(false);
    expect(budget.endSlowest(owner, 1_000)).toBe(true);
    expect(ended).toEqual([['own', 'displaced']]);
  });

  // Each piece of one byte takes processor time like a large one.
  it('allows a few bodies in tiny pieces, and ends the slowest of more', () => {
    for (let n = 0; n < 5; n++) {
      const transfer = start(`fragmented ${n}`);
      nowMs += 10;
      for (let piece = 0; piece < 5_000; piece++) {
        transfer.received(1);
      }
    }
    expect(ended).toEqual([['fragmented 0', 'fragmented']]);
    expect(start('single').reserve(262_144)).toBe(true);
  });

  it('takes no more than its total, unless forced, and gives everything back', () => {
    const steps = fc.array(
      fc.record({
        n: fc.nat(9),
        kind: fc.constantFrom(
          'reserve',
          'received',
          'handle',
          'send',
          'release',
        ),
        bytes: fc.nat(400 * KIB),
        waitMs: fc.nat(200),
      }),
    );
    fc.assert(
      fc.property(steps, drawn => {
        budget = TransferBudget.create(TOTAL_BYTES, () => nowMs);
        const transfers = Array.from({length: 10}, (_, n) => start(String(n)));
        for (const {n, kind, bytes, waitMs} of drawn) {
          const transfer = transfers[n]!;
          nowMs += waitMs;
          if (kind === 'reserve') {
            transfer.reserve(bytes);
          } else if (kind === 'received') {
            transfer.received(bytes);
          } else if (kind === 'handle') {
            transfer.startHandling();
          } else if (kind === 'send') {
            transfer.startSending(bytes);
          } else {
            transfer.release();
          }
          expect(budget.bytesInUse).toBeGreaterThanOrEqual(0);
          expect(budget.bytesInUse).toBeLessThanOrEqual(TOTAL_BYTES);
        }
        transfers.forEach(transfer => transfer.release());
        expect(budget.bytesInUse).toBe(0);
      }),
      {seed: 3},
    );
  });
});
