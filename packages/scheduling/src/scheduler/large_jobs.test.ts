import type {ScheduledJob, ScheduledStep} from '@papayarun/protocol';
import {EMPTY_QUOTE} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {startScheduler} from '../_test/start_scheduler.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

const [STEP] = jobOf(0).steps as [ScheduledStep];
const TOO_MANY = {kind: 'refused', reason: 'tooMany'};

function largeJob(n: number, steps: number, tasks: number): ScheduledJob {
  return jobOf(n, {
    steps: Array.from({length: steps}, () => ({...STEP, count: tasks})),
    // Nothing but its size keeps it from being admitted.
    leftMs: 1e12,
    slackMs: 1e12,
  });
}

// Guards against the end of a process that makes a record of each task of a job before
// it decides on the job (review/7).
describe('Scheduler.submit of a large job', () => {
  it('refuses more tasks than a scheduler keeps, in one step or in many', async () => {
    const simulation = new TargetSimulation(1);
    const scheduler = await startScheduler(simulation, 2);
    const jobs = [largeJob(1, 1, 200_000), largeJob(2, 20, 10_000)];
    for (const job of jobs) {
      expect(await scheduler.submit(job)).toMatchObject(TOO_MANY);
      expect(scheduler.quote(job)).toEqual(EMPTY_QUOTE);
    }
    const refused = simulation.log.events.filter(
      ({name}) => name === 'jobRefused',
    );
    expect(refused.map(({fields}) => fields['tasks'])).toEqual([
      200_000, 200_000,
    ]);
  });

  it('refuses more jobs than it keeps tasks of, until others have ended', async () => {
    const simulation = new TargetSimulation(1);
    const scheduler = await startScheduler(simulation, 2);
    const jobs = Array.from({length: 11}, (_, n) => largeJob(n, 1, 10_000));
    for (const job of jobs.slice(0, 10)) {
      void scheduler.submit(job);
    }
    expect(await scheduler.submit(jobs[10]!)).toMatchObject(TOO_MANY);
    expect(scheduler.quote(jobs[10]!)).toEqual(EMPTY_QUOTE);
    scheduler.cancel(jobs[0]!.id);
    void scheduler.submit(jobs[10]!);
    await simulation.clock.advance(1);
    expect(scheduler.waitingJobs).toBe(10);
  });

  it('takes over a job that was handed over, however much it keeps', async () => {
    const simulation = new TargetSimulation(1);
    const scheduler = await startScheduler(simulation, 2);
    for (let n = 0; n < 10; n++) {
      void scheduler.submit(largeJob(n, 1, 10_000));
    }
    void scheduler.submit({...largeJob(10, 1, 4), placed: []});
    await simulation.clock.advance(1);
    expect(scheduler.waitingJobs).toBe(11);
  });
});

// Guards against a turn of the event loop that sends an order for each task of a job.
describe('Placement of a large job', () => {
  const NO_NEEDS = {cores: 0, memoryMb: 0, accelerators: 0};

  // Sixteen targets, each of which takes 64 orders before it has answered one.
  it('goes on in the next turn of the event loop after some tasks', async () => {
    const simulation = new TargetSimulation(1);
    const scheduler = await startScheduler(simulation, 16);
    const job = jobOf(1, {
      steps: [{...STEP, count: 1_000, needs: NO_NEEDS}],
      isPromised: true,
    });
    void scheduler.submit(job);
    expect(scheduler.runningTasks).toBe(128);
    await simulation.clock.advance(0);
    expect(scheduler.runningTasks).toBe(1_000);
  });

  it('goes on when a target has room again', async () => {
    const simulation = new TargetSimulation(1);
    const scheduler = await startScheduler(simulation, 1);
    const busy = jobOf(1, {steps: [{...STEP, count: 2}], isPromised: true});
    const done = scheduler.submit(busy);
    const large = jobOf(2, {
      steps: [{...STEP, count: 5_000}],
      isPromised: true,
      leftMs: 60_000,
    });
    void scheduler.submit(large);
    await simulation.clock.advance(1);
    expect(scheduler.runningTasks).toBe(2);
    await waitForOutcome(simulation.clock, done, 1_000);
    await simulation.clock.advance(20);
    expect(simulation.startsOf(large.id)).toBe(2);
  });
});
