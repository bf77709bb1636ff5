import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {HEALTHY} from './healthy.js';
import {nextHealth} from './next_health.js';
import type {TargetHealth} from './target_health.js';

function healthAfter(
  results: ReadonlyArray<'succeeded' | 'failed' | 'unreachable'>,
): TargetHealth {
  return results.reduce(
    (health, result) => nextHealth(health, result, 1_000),
    HEALTHY,
  );
}

describe('nextHealth', () => {
  it('ejects after five failures in a row or two failures in a row to connect', () => {
    expect(healthAfter(['failed', 'failed', 'failed', 'failed']).kind).toBe(
      'healthy',
    );
    expect(
      healthAfter(['failed', 'failed', 'failed', 'failed', 'failed']).kind,
    ).toBe('ejected');
    expect(healthAfter(['unreachable', 'unreachable'])).toMatchObject({
      kind: 'ejected',
      untilMs: 3_000,
    });
  });

  it('doubles the ejection time when probation fails, up to the maximum', () => {
    let health: TargetHealth = {
      kind: 'probation',
      successesInRow: 3,
      ejections: 1,
    };
    health = nextHealth(health, 'failed', 0);
    expect(health).toEqual({kind: 'ejected', untilMs: 4_000, ejections: 2});
    const long = nextHealth(
      {kind: 'probation', successesInRow: 0, ejections: 40},
      'failed',
      0,
    );
    expect(long).toMatchObject({untilMs: 30_000});
  });

  it('never ejects a target that only succeeds', () => {
    fc.assert(
      fc.property(fc.nat(2_000), n => {
        expect(healthAfter(Array<'succeeded'>(n).fill('succeeded')).kind).toBe(
          'healthy',
        );
      }),
      {seed: 16, numRuns: 20},
    );
  });
});
