import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {playPlan} from '../_test/play_plan.js';
import {
  replacePlans,
  restartPlans,
  searchPlans,
} from '../_test/search_plans.js';

/** Runs of the property test; CI uses the default. */
const RUNS = Number(process.env['PAPAYARUN_RUNS'] ?? 100);
/** Seed of the property test; CI uses the default. */
const SEED = Number(process.env['PAPAYARUN_SEED'] ?? 3);
/** Whether a counterexample is reduced, which takes up to some minutes. */
const IS_REDUCED = process.env['PAPAYARUN_REDUCE'] !== undefined;
/** Time limit of the test, in milliseconds. */
const TIMEOUT_MS = 600_000;
describe('Jobs that are sent again', () => {
  it(
    'run no task twice at once, and are completed only when all tasks are done, whatever is lost',
    async () => {
      await fc.assert(
        fc.asyncProperty(searchPlans, async plan => {
          expect(await playPlan(plan)).toEqual([]);
        }),
        {numRuns: RUNS, seed: SEED, endOnFailure: !IS_REDUCED},
      );
    },
    TIMEOUT_MS,
  );

  // A target accepts orders under its id before it has reported a restart.
  it(
    'run no task twice at once when targets restart under their ids',
    async () => {
      await fc.assert(
        fc.asyncProperty(restartPlans, async plan => {
          expect(await playPlan(plan)).toEqual([]);
        }),
        {numRuns: RUNS, seed: SEED, endOnFailure: !IS_REDUCED},
      );
    },
    TIMEOUT_MS,
  );

  // A scheduler that hears no answers doesn't notice its successor.
  it(
    'run no task twice at once when a scheduler acts beside its successor',
    async () => {
      await fc.assert(
        fc.asyncProperty(replacePlans, async plan => {
          expect(await playPlan(plan)).toEqual([]);
        }),
        {numRuns: RUNS, seed: SEED, endOnFailure: !IS_REDUCED},
      );
    },
    TIMEOUT_MS,
  );
});
