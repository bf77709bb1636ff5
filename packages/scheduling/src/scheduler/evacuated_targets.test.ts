import type {ServiceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {startScheduler} from '../_test/start_scheduler.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

const MAX_WAIT_MS = 4_000;
const REFUSED = {kind: 'refused', reason: 'evacuated'};

describe('A scheduler of a data centre that is being evacuated', () => {
  it('refuses a new job at once and quotes nothing', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 4);
    sim.evacuationPhase = {kind: 'leaving'};
    expect(await scheduler.submit(jobOf(1))).toMatchObject(REFUSED);
    expect(scheduler.quote(jobOf(2)).endsMs).toEqual([]);
    expect(sim.startsOf(jobOf(1).id)).toBe(0);
  });

  // A job that waited for a slot there would wait until its deadline.
  it('refuses the jobs that wait, and completes those that have begun', async () => {
    const sim = new TargetSimulation(1, 500);
    const scheduler = await startScheduler(sim, 1);
    const begun = scheduler.submit(jobOf(1, {isPromised: true}));
    await sim.clock.advance(20);
    const waiting = scheduler.submit(jobOf(2, {isPromised: true, priority: 1}));
    const unpromised = {...jobOf(3), priority: 1, leftMs: 20_000};
    const late = scheduler.submit({...unpromised, slackMs: 10_000});
    await sim.clock.advance(20);
    sim.evacuationPhase = {kind: 'leaving'};
    scheduler.refuseUnbegun();
    expect(await waitForOutcome(sim.clock, late, 10)).toMatchObject(REFUSED);
    const ends = [begun, waiting].map(o =>
      waitForOutcome(sim.clock, o, MAX_WAIT_MS),
    );
    expect((await Promise.all(ends)).map(o => o.kind)).toEqual([
      'completed',
      'completed',
    ]);
    expect(sim.startsOf(jobOf(3).id)).toBe(0);
  });

  // The promised part of a split job whose other parts have begun elsewhere.
  it('accepts a promised part during the grace period only', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 4);
    sim.evacuationPhase = {kind: 'leaving'};
    const part = scheduler.submit(jobOf(1, {isPromised: true}));
    expect(await waitForOutcome(sim.clock, part, MAX_WAIT_MS)).toMatchObject({
      kind: 'completed',
    });
    sim.evacuationPhase = {kind: 'evacuated'};
    const late = scheduler.submit(jobOf(2, {isPromised: true}));
    expect(await late).toMatchObject(REFUSED);
    expect(sim.startsOf(jobOf(2).id)).toBe(0);
  });

  // A task was started as soon as a slot was free, however long after the order.
  it('starts no waiting task after the grace period, and lets runs end', async () => {
    const sim = new TargetSimulation(1, 300);
    const scheduler = await startScheduler(sim, 1);
    const begun = scheduler.submit(jobOf(1, {isPromised: true}));
    await sim.clock.advance(100);
    const starts = sim.startsOf(jobOf(1).id);
    expect(starts).toBeLessThan(4);
    sim.evacuationPhase = {kind: 'evacuated'};
    expect(await waitForOutcome(sim.clock, begun, MAX_WAIT_MS)).toMatchObject({
      kind: 'failed',
      reason: 'evacuated',
    });
    expect(sim.startsOf(jobOf(1).id)).toBe(starts);
  });

  // Its orders would start the tasks of the job in an evacuated data centre.
  it('starts none of the waiting tasks of a job that is handed over', async () => {
    const sim = new TargetSimulation(1, 300);
    const scheduler = await startScheduler(sim, 1);
    sim.evacuationPhase = {kind: 'evacuated'};
    const job = jobOf(1, {isPromised: true, placed: []});
    const outcome = await waitForOutcome(
      sim.clock,
      scheduler.submit(job),
      MAX_WAIT_MS,
    );
    expect(outcome.kind).not.toBe('completed');
    expect(sim.startsOf(job.id)).toBe(0);
  });

  // A straggler that can't be repeated would be lost with its job.
  it('stops no straggler that may not be started elsewhere', async () => {
    const sim = new TargetSimulation(1, 60);
    const scheduler = await startScheduler(sim, 4);
    for (let n = 1; n <= 20; n++) {
      await waitForOutcome(sim.clock, scheduler.submit(jobOf(n)), MAX_WAIT_MS);
    }
    const slow = jobOf(99);
    sim.runMsOfJobs.set(slow.id, 1_200);
    const outcome = scheduler.submit(slow);
    await sim.clock.advance(20);
    sim.evacuationPhase = {kind: 'evacuated'};
    expect(await waitForOutcome(sim.clock, outcome, MAX_WAIT_MS)).toMatchObject(
      {kind: 'completed'},
    );
  });
});

describe('A scheduler of a data centre that is taken back', () => {
  // All targets were filled at once while they were cold.
  it('uses a share of the targets, in forecasts too', async () => {
    const sim = new TargetSimulation(1, 1_000);
    const scheduler = await startScheduler(sim, 8);
    sim.evacuationPhase = {kind: 'returning', share: 0.25};
    const jobs = [1, 2, 3, 4].map(n => jobOf(n, {isPromised: true}));
    jobs.forEach(job => void scheduler.submit(job));
    await sim.clock.advance(50);
    const used = [...sim.targets.values()].filter(t => t.starts.length > 0);
    expect(used).toHaveLength(2);
    const [first] = scheduler.quote(jobOf(9)).endsMs;
    expect(first).toBeGreaterThan(100);
    sim.evacuationPhase = {kind: 'inService'};
    await sim.clock.advance(300);
    const all = [...sim.targets.values()].filter(t => t.starts.length > 0);
    expect(all.length).toBeGreaterThan(2);
  });

  // Jobs of a service were refused whose targets came last in the order.
  it('uses targets of each service from the begin', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = sim.scheduler();
    scheduler.begin(1);
    const service = 'outro' as ServiceId;
    scheduler.acceptReport({...sim.addTarget(), service});
    scheduler.acceptReport({...sim.addTarget(), service});
    scheduler.acceptReport(sim.addTarget());
    await sim.clock.advance(20);
    sim.evacuationPhase = {kind: 'returning', share: 0.25};
    const outcome = scheduler.submit(jobOf(1, {slackMs: 1_000}));
    expect(await waitForOutcome(sim.clock, outcome, MAX_WAIT_MS)).toMatchObject(
      {kind: 'completed'},
    );
  });

  // Jobs were held until targets were in use beside those that had not come back.
  it('leaves out targets that do not answer', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 4);
    const [first] = [...sim.targets.keys()].sort();
    sim.faults.cut.add(first!);
    await sim.clock.advance(5_000);
    sim.evacuationPhase = {kind: 'returning', share: 0.25};
    const outcome = scheduler.submit(jobOf(1, {slackMs: 1_000}));
    expect(await waitForOutcome(sim.clock, outcome, MAX_WAIT_MS)).toMatchObject(
      {kind: 'completed'},
    );
  });
});
