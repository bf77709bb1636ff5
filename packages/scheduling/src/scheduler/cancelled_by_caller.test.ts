import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

const MAX_WAIT_MS = 1_000;

describe('A job that its caller has cancelled by name', () => {
  // A refused job is submitted to other schedulers, where it would start.
  it('is not refused before its first task has started', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const scheduler = sim.scheduler();
    scheduler.begin(1);
    const outcome = scheduler.submit(jobOf(1, {isPromised: true}));
    scheduler.cancel(jobOf(1).id, 'cancelledByCaller');
    expect(await waitForOutcome(sim.clock, outcome, MAX_WAIT_MS)).toMatchObject(
      {
        kind: 'failed',
        reason: 'cancelledByCaller',
      },
    );
    expect(sim.startsOf(jobOf(1).id)).toBe(0);
  });
});
