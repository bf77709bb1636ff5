import type {JobOutcome, ScheduledJob} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {reportOf} from '../_test/report_of.js';
import {startScheduler} from '../_test/start_scheduler.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';
import type {Scheduler} from './scheduler.js';

const RUN_MS = 60;
/** Time in which the second step runs, much shorter than the job may take. */
const NEXT_STEP_MS = 300;

/** Two steps of one task; the second needs the first to be done. */
function createJob(): ScheduledJob {
  const [step] = jobOf(1).steps;
  const steps = [
    {...step!, count: 1},
    {...step!, count: 1, after: [0]},
  ];
  return jobOf(1, {steps});
}

/**
 * Hands a job over whose first step ends while no scheduler listens.
 *
 * @returns The successor, which knows no target yet, and what it is given.
 */
async function handOver(sim: TargetSimulation): Promise<{
  readonly successor: Scheduler;
  readonly job: ScheduledJob;
}> {
  const former = await startScheduler(sim, 1);
  const job = createJob();
  const first = former.submit(job);
  await sim.clock.advance(20);
  former.end();
  const outcome: JobOutcome = await first;
  const placed = outcome.kind === 'handedOver' ? outcome.placed : [];
  expect(placed.map(({isDone}) => isDone)).toEqual([false]);
  await sim.clock.advance(2 * RUN_MS);
  const successor = sim.scheduler();
  successor.begin(2);
  return {successor, job: {...job, placed}};
}

function reportTargets(sim: TargetSimulation, scheduler: Scheduler): void {
  [...sim.targets.keys()].forEach(id => scheduler.acceptReport(reportOf(id)));
}

// The next step stayed blocked, and the caller got no answer until its deadline.
describe('A job that is taken over when the last task of a step is done', () => {
  it('goes on with the next step when the end is found in a list of its target', async () => {
    const sim = new TargetSimulation(1, RUN_MS);
    const {successor, job} = await handOver(sim);
    const again = successor.submit(job);
    await sim.clock.advance(20);
    reportTargets(sim, successor);
    const outcome = await waitForOutcome(sim.clock, again, NEXT_STEP_MS);
    expect(outcome).toMatchObject({kind: 'completed'});
    expect(sim.startsOf(job.id)).toBe(2);
  });

  it('goes on with the next step when the end was known before the job arrived', async () => {
    const sim = new TargetSimulation(1, RUN_MS);
    const {successor, job} = await handOver(sim);
    reportTargets(sim, successor);
    await sim.clock.advance(20);
    const again = successor.submit(job);
    const outcome = await waitForOutcome(sim.clock, again, NEXT_STEP_MS);
    expect(outcome).toMatchObject({kind: 'completed'});
    expect(sim.startsOf(job.id)).toBe(2);
  });
});
