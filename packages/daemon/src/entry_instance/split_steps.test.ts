import type {JobId, KindId, ScheduledJob, ServiceId} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {splitSteps} from './split_steps.js';

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

describe('splitSteps', () => {
  it('gives each task to exactly one part, within the offers', () => {
    const offers = fc.array(fc.nat(20), {minLength: 1, maxLength: 4});
    fc.assert(
      fc.property(fc.integer({min: 1, max: 40}), offers, (count, given) => {
        const parts = splitSteps(jobOf(count), given);
        const total = given.reduce((sum, offer) => sum + offer, 0);
        expect(parts !== undefined).toBe(total >= count);
        const indices = (parts ?? []).flatMap((part, i) => {
          const step = part?.steps[0];
          expect(step?.count ?? 0).toBeLessThanOrEqual(given[i]!);
          return Array.from(
            {length: step?.count ?? 0},
            (_, n) => step!.firstIndex + n,
          );
        });
        if (parts) {
          expect(indices).toEqual(Array.from({length: count}, (_, n) => n));
        }
      }),
    );
  });

  it('leaves jobs of several steps whole', () => {
    expect(splitSteps(jobOf(2, 2), [9, 9])).toBeUndefined();
  });
});
