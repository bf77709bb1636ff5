import {describe, expect, it} from 'vitest';
import type {LoadPattern} from '../_test/load_pattern.js';
import {LOAD_PATTERNS} from '../_test/load_patterns.js';
import {LoadSimulation} from '../_test/load_simulation.js';

/** Seeds of the replays; CI uses the defaults. */
const SEEDS = (process.env['PAPAYARUN_LOAD_SEEDS'] ?? '1,2')
  .split(',')
  .map(Number);
/** Pattern to replay alone, for measurements. */
const ONLY = process.env['PAPAYARUN_LOAD_PATTERN'];
/** Rounding error of the sums of credits. */
const ROUNDING = 1e-9;
const IS_SHOWN = process.env['PAPAYARUN_LOAD_SHOW'] !== undefined;

async function play(pattern: LoadPattern, seed: number): Promise<number> {
  const load = LoadSimulation.create(pattern.shape, seed, pattern.opts);
  await load.run(pattern.rateOf);
  const {credit, bound} = load.score();
  if (IS_SHOWN) {
    const kinds = [...load.sumTallies].map(
      ([name, t]) =>
        `${name} ${t.submitted}: in time ${(t.inTime / t.submitted).toFixed(3)} late ${t.late} refused ${t.refused} (late ${t.refusedLate}) failed ${t.failed}`,
    );
    process.stdout.write(
      `${pattern.name} | seed ${seed} | ${(credit / bound).toFixed(4)} | ${kinds.join('; ')}\n`,
    );
  }
  return credit / bound;
}

describe('load patterns', () => {
  it.each(LOAD_PATTERNS.filter(({name}) => !ONLY || name === ONLY))(
    'earns its share of the bound: $name',
    async pattern => {
      for (const seed of SEEDS) {
        const share = await play(pattern, seed);
        expect(share).toBeLessThanOrEqual(1 + ROUNDING);
        expect(share).toBeGreaterThan(0);
      }
    },
    120_000,
  );
});
