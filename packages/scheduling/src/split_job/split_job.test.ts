import type {
  JobId,
  JobQuote,
  KindId,
  ScheduledJob,
  ServiceId,
} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {splitJob} from './split_job.js';

function jobOf(count: number, steps = 1): ScheduledJob {
  const step = {
    count,
    firstIndex: 0,
    needs: {cores: 1, memoryMb: 1, accelerators: 0},
    estimateMs: 60,
    after: [],
  };
  return {
    id: '5c0e7a21d94b36f8' as JobId,
    kind: 'relato' as KindId,
    service: 'falhas' as ServiceId,
    spec: '',
    steps: Array.from({length: steps}, () => step),
    priority: 0,
    maxAttempts: 1,
    stretch: 1,
    slackMs: 0,
    ageMs: 0,
    leftMs: 1_000,
    isPromised: false,
  };
}

const LIMIT_MS = 156;

function quoteOf(...endsMs: number[]): JobQuote {
  return {endsMs, limitMs: LIMIT_MS, latestMs: 0};
}

describe('splitJob', () => {
  it('assigns each task to exactly one part, where it ends first', () => {
    const quotes = fc.array(
      fc.array(fc.integer({min: 60, max: 300}), {maxLength: 20}),
      {minLength: 1, maxLength: 4},
    );
    fc.assert(
      fc.property(fc.integer({min: 1, max: 40}), quotes, (count, given) => {
        const ends = given.map(endsMs => [...endsMs].sort((a, b) => a - b));
        const parts = splitJob(
          jobOf(count),
          ends.map(endsMs => quoteOf(...endsMs)),
        );
        const inTime = ends.flatMap(e => e.filter(ms => ms <= LIMIT_MS));
        expect(parts !== undefined).toBe(inTime.length >= count);
        if (!parts) {
          return;
        }
        const taken = parts.flatMap((part, i) =>
          ends[i]!.slice(0, part?.steps[0]!.count ?? 0),
        );
        const best = inTime.sort((a, b) => a - b)[count - 1]!;
        // A remote scheduler has to end a task a round trip earlier.
        expect(Math.max(...taken)).toBeLessThanOrEqual(best + 2);
        const indices = parts.flatMap(part => {
          const step = part?.steps[0];
          return Array.from(
            {length: step?.count ?? 0},
            (_, n) => step!.firstIndex + n,
          );
        });
        expect(indices).toEqual(Array.from({length: count}, (_, n) => n));
      }),
    );
  });

  it('splits a wide job over the free slots of three busy data centres', () => {
    // Each of three data centres has three free slots, and the next in 80 ms.
    const busy = quoteOf(60, 60, 60, 140, 140, 140, 140, 140);
    const parts = splitJob(jobOf(8), [busy, busy, busy])!;
    expect(parts.map(part => part?.steps[0]!.count)).toEqual([3, 3, 2]);
  });

  it('places a job with a late end where the quote allows it', () => {
    const late = {endsMs: [60, 200], limitMs: LIMIT_MS, latestMs: 220};
    const parts = splitJob(jobOf(2), [late, quoteOf(300)])!;
    expect(parts.map(part => part?.steps[0]!.count)).toEqual([2, undefined]);
  });

  it('keeps a job at the nearest scheduler unless a remote one saves more than a round trip', () => {
    const parts = splitJob(jobOf(2), [quoteOf(60, 61), quoteOf(60, 60)])!;
    expect(parts.map(part => part?.steps[0]!.count)).toEqual([2, undefined]);
  });

  it('assigns jobs of several steps whole, where they end first', () => {
    const job = jobOf(2, 2);
    const slow = quoteOf(60, 60, 120, 150);
    const fast = quoteOf(60, 60, 120, 120);
    expect(splitJob(job, [slow, fast])).toEqual([
      undefined,
      {...job, isPromised: true},
    ]);
    expect(splitJob(job, [quoteOf(60, 60, 120, 160)])).toBeUndefined();
  });
});
