import type {ScheduledJob, TargetId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {reportOf} from '../_test/report_of.js';
import {startOtherScheduler} from '../_test/start_other_scheduler.js';
import {startScheduler} from '../_test/start_scheduler.js';
import {submitViaEntry} from '../_test/submit_via_entry.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';
import type {Scheduler} from './scheduler.js';

/** Time after which a caller sends an unanswered job again, in milliseconds. */
const RESEND_MS = 1_300;

/** Part of a job that an entry has split over several schedulers. */
function partOf(
  job: ScheduledJob,
  firstIndex: number,
  count: number,
): ScheduledJob {
  const [step] = job.steps;
  return {
    ...job,
    steps: [{...step!, firstIndex, count}],
    isPromised: true,
  };
}

/** Begins a scheduler that takes over all targets, with a higher token. */
async function startSuccessor(
  sim: TargetSimulation,
  targets: readonly TargetId[],
): Promise<Scheduler> {
  const scheduler = sim.scheduler();
  scheduler.begin(2);
  targets.forEach(id => scheduler.acceptReport(reportOf(id)));
  await sim.clock.advance(20);
  return scheduler;
}

/** Loses the answers of all targets that run something. */
function cutBusyTargets(sim: TargetSimulation): void {
  for (const [id, target] of sim.targets) {
    if (target.runs.size > 0) {
      sim.faults.cut.add(id);
    }
  }
}

/**
 * Submits a job, loses the answers of its targets 600 ms before its deadline,
 * and waits until its caller would send it again.
 */
async function failByDeadline(
  sim: TargetSimulation,
  scheduler: Scheduler,
  job: ScheduledJob,
): Promise<void> {
  const first = scheduler.submit(job);
  await sim.clock.advance(job.leftMs - 600);
  cutBusyTargets(sim);
  const outcome = await waitForOutcome(sim.clock, first, 3_000);
  expect(outcome).toEqual({kind: 'failed', reason: 'deadline', mayRun: true});
  await sim.clock.advance(RESEND_MS);
}

describe('A job that is sent again', () => {
  // The only target had ended a run of the same number, and was left out.
  it('runs on the target that has stopped its first run', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 1);
    const job = partOf(jobOf(1), 0, 1);
    void scheduler.submit(job);
    await sim.clock.advance(20);
    scheduler.cancel(job.id);
    await sim.clock.advance(RESEND_MS);
    const again = scheduler.submit(job);
    const outcome = await waitForOutcome(sim.clock, again, 3_000);
    expect(outcome.kind).toBe('completed');
  });

  // The outcome of the part with the first task was found for the whole job.
  it('is not completed by the outcome of a part of it', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 4);
    const job = jobOf(1);
    const part = scheduler.submit(partOf(job, 0, 1));
    await waitForOutcome(sim.clock, part, 2_000);
    await sim.clock.advance(RESEND_MS);
    const again = submitViaEntry(scheduler, job);
    const outcome = await waitForOutcome(sim.clock, again, 2_000);
    expect(outcome.kind).toBe('completed');
    expect(sim.doneTasksOf(job.id)).toBe(4);
  });

  it('is not started beside a part of it that still runs', async () => {
    const sim = new TargetSimulation(1, 2_500);
    const scheduler = await startScheduler(sim, 6);
    const job = jobOf(1, {leftMs: 6_000});
    void scheduler.submit(partOf(job, 2, 2));
    await sim.clock.advance(RESEND_MS);
    const again = submitViaEntry(scheduler, job);
    const outcome = await waitForOutcome(sim.clock, again, 6_000);
    expect(outcome.kind).toBe('completed');
    expect(sim.concurrentRuns).toEqual([]);
  });

  // The done tasks of the last 1,024 jobs were known, however short ago that was.
  it('runs nothing again that was done before many other jobs', async () => {
    const sim = new TargetSimulation(1, 20);
    const scheduler = await startScheduler(sim, 24);
    const job = partOf(jobOf(1), 0, 1);
    const first = scheduler.submit(job);
    await waitForOutcome(sim.clock, first, 2_000);
    for (let n = 2; n <= 1_100; n += 48) {
      const others = Array.from({length: 48}, (_, i) =>
        scheduler.submit(partOf(jobOf(n + i), 0, 1)),
      );
      const last = Promise.all(others).then(([outcome]) => outcome!);
      await waitForOutcome(sim.clock, last, 2_000);
    }
    const again = scheduler.submit(job);
    const outcome = await waitForOutcome(sim.clock, again, 2_000);
    expect(outcome.kind).toBe('completed');
    expect(sim.startsOf(job.id)).toBe(1);
  });

  it('is not started while its first runs have not been stopped', async () => {
    const sim = new TargetSimulation(1, 2_500);
    const scheduler = await startScheduler(sim, 6);
    const job = jobOf(1);
    void scheduler.submit(job);
    await sim.clock.advance(60);
    sim.faults.lateOrders = 1;
    scheduler.cancel(job.id);
    await sim.clock.advance(100);
    sim.faults.lateOrders = 0;
    await waitForOutcome(sim.clock, submitViaEntry(scheduler, job), 4_000);
    expect(sim.concurrentRuns).toEqual([]);
  });

  it('is not started while the targets of its first runs do not answer', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const scheduler = await startScheduler(sim, 6);
    const job = jobOf(1, {leftMs: 1_500});
    await failByDeadline(sim, scheduler, job);
    await waitForOutcome(sim.clock, submitViaEntry(scheduler, job), 4_000);
    expect(sim.concurrentRuns).toEqual([]);
  });

  // Leases of runs that were given up were renewed for as long as those of others.
  it('finds no run left at another scheduler that gave it up', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const scheduler = await startScheduler(sim, 6);
    const other = await startOtherScheduler(sim);
    const job = jobOf(1, {leftMs: 1_500});
    await failByDeadline(sim, scheduler, job);
    await waitForOutcome(sim.clock, submitViaEntry(other, job), 4_000);
    expect(sim.concurrentRuns).toEqual([]);
  });

  // The next scheduler renewed the leases of runs that no job had claimed.
  it('finds no run left of a scheduler that was killed', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const scheduler = await startScheduler(sim, 6);
    const targets = [...sim.targets.keys()];
    const other = await startOtherScheduler(sim);
    const job = jobOf(1, {leftMs: 6_000});
    void scheduler.submit(job);
    await sim.clock.advance(600);
    scheduler.end();
    await sim.clock.advance(700);
    const successor = await startSuccessor(sim, targets);
    void successor.submit(jobOf(2, {leftMs: 6_000}));
    await sim.clock.advance(RESEND_MS - 720);
    await waitForOutcome(sim.clock, submitViaEntry(other, job), 4_000);
    expect(sim.concurrentRuns).toEqual([]);
  });
});

describe('A run that was taken over from an earlier scheduler', () => {
  /** Hands a job with one run over, and returns it as the entry sends it on. */
  async function handOver(
    sim: TargetSimulation,
  ): Promise<{readonly successor: Scheduler; readonly job: ScheduledJob}> {
    const scheduler = await startScheduler(sim, 1);
    const [step] = jobOf(1).steps;
    const job = jobOf(1, {leftMs: 8_000, steps: [{...step!, count: 1}]});
    const first = scheduler.submit(job);
    await sim.clock.advance(300);
    const successor = await startSuccessor(sim, ['t1' as TargetId]);
    successor.acceptReport(sim.addTarget());
    await sim.clock.advance(20);
    scheduler.end();
    const handedOver = await first;
    const placed = handedOver.kind === 'handedOver' ? handedOver.placed : [];
    return {successor, job: {...job, placed}};
  }

  // The lease that its target was granted before the takeover was not counted.
  it('is not started again elsewhere while its lease lasts', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const {successor, job} = await handOver(sim);
    sim.faults.cut.add('t1' as TargetId);
    await sim.clock.advance(1_200);
    const outcome = successor.submit(job);
    await waitForOutcome(sim.clock, outcome, 8_000);
    expect(sim.concurrentRuns).toEqual([]);
  });

  it('is not taken for ended when its job is cancelled and its target is silent', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const {successor, job} = await handOver(sim);
    void successor.submit(job);
    sim.faults.cut.add('t1' as TargetId);
    successor.cancel(job.id);
    const t1 = reportOf('t1' as TargetId);
    successor.acceptReport({...t1, sequence: 2, state: 'draining'});
    await sim.clock.advance(200);
    const again = successor.submit({
      ...job,
      placed: undefined,
      isPromised: true,
    });
    await waitForOutcome(sim.clock, again, 8_000);
    expect(sim.concurrentRuns).toEqual([]);
  });

  // Its end was dropped where no other run was unclaimed.
  it('is not started again when it has completed before its job arrives', async () => {
    const sim = new TargetSimulation(1, 400);
    const {successor, job} = await handOver(sim);
    await sim.clock.advance(250);
    const outcome = successor.submit(job);
    await waitForOutcome(sim.clock, outcome, 8_000);
    expect(sim.startsOf(job.id)).toBe(1);
  });
});

describe('A job that is given up', () => {
  // Its caller sent it again at once, to another data centre, beside runs whose
  // stops were on their way.
  it('is answered when its runs have ended', async () => {
    const sim = new TargetSimulation(1, 2_500);
    const scheduler = await startScheduler(sim, 6);
    const job = jobOf(1);
    const outcome = scheduler.submit(job);
    await sim.clock.advance(60);
    sim.faults.lateOrders = 1;
    scheduler.cancel(job.id);
    await sim.clock.advance(50);
    sim.faults.lateOrders = 0;
    const ended = await waitForOutcome(sim.clock, outcome, 3_000);
    expect(ended).toEqual({kind: 'failed', reason: 'cancelled'});
    const running = [...sim.targets.values()].flatMap(t => [...t.runs]);
    expect(running).toEqual([]);
  });

  it('is answered at its deadline if its targets stay silent', async () => {
    const sim = new TargetSimulation(1, 4_000);
    const scheduler = await startScheduler(sim, 6);
    const outcome = scheduler.submit(jobOf(1, {leftMs: 1_500}));
    const sentMs = sim.clock.now();
    await sim.clock.advance(900);
    cutBusyTargets(sim);
    await waitForOutcome(sim.clock, outcome, 3_000);
    expect(sim.clock.now() - sentMs).toBeLessThanOrEqual(1_520);
  });
});
