import type {ScheduledJob, ScheduledStep} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';
import type {Scheduler} from './scheduler.js';

const REFUSED = {kind: 'refused', reason: 'noTargets'};
const REPORT_MS = 1_500;
/** Time for the run of a job, much shorter than its deadline. */
const RUN_MS = 300;

function jobWith(...steps: Array<Partial<ScheduledStep>>): ScheduledJob {
  const [step] = jobOf(1).steps;
  return jobOf(1, {
    steps: steps.map(overrides => ({...step!, count: 1, ...overrides})),
  });
}

/** Begins a scheduler with a target for each list of labels. */
async function startWithLabels(
  sim: TargetSimulation,
  ...labels: string[][]
): Promise<Scheduler> {
  const scheduler = sim.scheduler();
  scheduler.begin(1);
  for (const list of labels) {
    scheduler.acceptReport({...sim.addTarget(), labels: list});
  }
  await sim.clock.advance(20);
  return scheduler;
}

// It was held until its deadline, and then refused as too late.
describe('A job that no known target of its service can run', () => {
  it('is refused at once, and gets no quote, if none has the required label', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startWithLabels(sim, [], ['hdd']);
    const job = jobWith({requiredLabel: 'ssd'});
    expect(scheduler.quote(job).endsMs).toEqual([]);
    const outcome = await waitForOutcome(sim.clock, scheduler.submit(job), 5);
    expect(outcome).toMatchObject(REFUSED);
    expect(sim.startsOf(job.id)).toBe(0);
  });

  it('is refused at once if none has the resources of a later step', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startWithLabels(sim, []);
    const needs = {cores: 1, memoryMb: 64, accelerators: 1};
    const job = jobWith({}, {needs, after: [0]});
    const outcome = await waitForOutcome(sim.clock, scheduler.submit(job), 5);
    expect(outcome).toMatchObject(REFUSED);
    expect(sim.startsOf(job.id)).toBe(0);
  });

  // The target has gone since the quote for the part was given.
  it('is refused at once as a promised part too', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startWithLabels(sim, []);
    const job = {...jobWith({requiredLabel: 'ssd'}), isPromised: true};
    const outcome = await waitForOutcome(sim.clock, scheduler.submit(job), 5);
    expect(outcome).toMatchObject(REFUSED);
  });
});

describe('A job that a known target can run', () => {
  it('runs on the target that has the required label', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startWithLabels(sim, [], ['ssd']);
    const job = jobWith({requiredLabel: 'ssd'});
    expect(scheduler.quote(job).endsMs.length).toBe(1);
    const outcome = await waitForOutcome(
      sim.clock,
      scheduler.submit(job),
      RUN_MS,
    );
    expect(outcome).toMatchObject({kind: 'completed'});
    expect([...sim.targets.values()].map(t => t.starts.length)).toEqual([0, 1]);
  });

  // A target that misses two answers would cost all jobs with its label.
  it('waits for a target that has the label and does not answer now', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startWithLabels(sim, []);
    const report = {...sim.addTarget(), labels: ['ssd']};
    sim.faults.cut.add(report.targetId);
    scheduler.acceptReport(report);
    await sim.clock.advance(700);
    const outcome = scheduler.submit(jobWith({requiredLabel: 'ssd'}));
    expect(await waitForOutcome(sim.clock, outcome, 50)).toBeUndefined();
    sim.faults.cut.clear();
    expect(await waitForOutcome(sim.clock, outcome, 3_000)).toMatchObject({
      kind: 'completed',
    });
  });
});

describe('A job that arrives while targets are still being discovered', () => {
  it('waits for the target that can run it', async () => {
    const sim = new TargetSimulation(1);
    sim.reportMs = REPORT_MS;
    const scheduler = await startWithLabels(sim, []);
    const job = jobWith({requiredLabel: 'ssd'});
    const outcome = scheduler.submit(job);
    await sim.clock.advance(100);
    scheduler.acceptReport({...sim.addTarget(), labels: ['ssd']});
    expect(await waitForOutcome(sim.clock, outcome, RUN_MS)).toMatchObject({
      kind: 'completed',
    });
  });

  it('is refused when all are known and none can run it', async () => {
    const sim = new TargetSimulation(1);
    sim.reportMs = REPORT_MS;
    const scheduler = await startWithLabels(sim, []);
    const outcome = scheduler.submit(jobWith({requiredLabel: 'ssd'}));
    expect(await waitForOutcome(sim.clock, outcome, 200)).toBeUndefined();
    expect(await waitForOutcome(sim.clock, outcome, 300)).toMatchObject(
      REFUSED,
    );
  });

  // A refusal says that the job has not run.
  it('is not refused once a task of it has run', async () => {
    const sim = new TargetSimulation(1);
    sim.reportMs = REPORT_MS;
    const scheduler = await startWithLabels(sim, []);
    const job = jobWith({}, {requiredLabel: 'ssd', after: [0]});
    const outcome = await waitForOutcome(
      sim.clock,
      scheduler.submit(job),
      4_000,
    );
    expect(sim.startsOf(job.id)).toBe(1);
    expect(outcome).toMatchObject({kind: 'failed'});
  });
});
