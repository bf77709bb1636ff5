import type {JobOutcome, ScheduledStep} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {startScheduler} from '../_test/start_scheduler.js';
import {submitViaEntry} from '../_test/submit_via_entry.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

const [STEP] = jobOf(0).steps as [ScheduledStep];
const TARGETS = 12;
const PERIOD_MS = 100;
const SINGLE_JOBS = 14;
/** Time that the large job needs alone, 18 rounds of 24 slots, and a quarter. */
const LARGE_MS = 1.25 * 18 * 60;

// Guards against the refusal of jobs of one task that come behind a job of 420 tasks
// with time to spare: the first 9 of 14 were refused (requirements E1).
describe('One large job beside small ones', () => {
  it('is served in its time while all small ones are served at once', async () => {
    const simulation = new TargetSimulation(1);
    const {clock} = simulation;
    const scheduler = await startScheduler(simulation, TARGETS);
    const startMs = clock.now();
    let tookMs: number | undefined;
    const large = submitViaEntry(
      scheduler,
      jobOf(1, {steps: [{...STEP, count: 420}], leftMs: 6_000}),
    );
    void large.then(() => (tookMs = clock.now() - startMs));
    const outcomes: JobOutcome[] = [];
    const took: number[] = [];
    for (let n = 2; n < 2 + SINGLE_JOBS; n++) {
      await clock.advance(PERIOD_MS);
      const sentMs = clock.now();
      const single = jobOf(n, {
        steps: [{...STEP, count: 1}],
        leftMs: 6_000,
      });
      void submitViaEntry(scheduler, single).then(outcome => {
        outcomes.push(outcome);
        took.push(clock.now() - sentMs);
      });
    }
    expect(await waitForOutcome(clock, large, 6_000)).toMatchObject({
      kind: 'completed',
    });
    await clock.advance(PERIOD_MS * 2);
    expect(outcomes.map(({kind}) => kind)).toEqual(
      Array.from({length: SINGLE_JOBS}, () => 'completed'),
    );
    // The objective of a job of one task.
    expect(Math.max(...took)).toBeLessThanOrEqual(1.6 * 60 + 60);
    expect(tookMs).toBeLessThanOrEqual(LARGE_MS);
  });
});
