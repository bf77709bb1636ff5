import type {ScheduledJob, TargetId, TargetReport} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {reportOf} from '../_test/report_of.js';
import {startScheduler} from '../_test/start_scheduler.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

const T1 = 't1' as TargetId;
const RUN_MS = 3_000;
const OTHER_PORT = 9;
const [STEP] = jobOf(1).steps;
const JOB = jobOfOneTask(1);

function jobOfOneTask(n: number): ScheduledJob {
  return jobOf(n, {
    leftMs: 8_000,
    isPromised: true,
    steps: [{...STEP!, count: 1, estimateMs: RUN_MS}],
  });
}

/** Report under the id of the first target, from another address. */
function foreignReport(overrides: Partial<TargetReport> = {}): TargetReport {
  return {...reportOf(T1), port: OTHER_PORT, bornMs: 50, ...overrides};
}

/** Simulation whose first target has run the job for a second. */
async function runningJob(): Promise<{
  readonly sim: TargetSimulation;
  readonly scheduler: Awaited<ReturnType<typeof startScheduler>>;
  readonly outcome: ReturnType<
    Awaited<ReturnType<typeof startScheduler>>['submit']
  >;
}> {
  const sim = new TargetSimulation(1, RUN_MS);
  const scheduler = await startScheduler(sim, 1);
  const outcome = scheduler.submit(JOB);
  await sim.clock.advance(1_000);
  scheduler.acceptReport(sim.addTarget());
  await sim.clock.advance(20);
  return {sim, scheduler, outcome};
}

describe('A report from another address under the id of a known target', () => {
  // The listed runs counted as lost on the word of the report alone, and were
  // started elsewhere while the target still had them (review/9).
  for (const bornMs of [50, 0]) {
    it(`loses no run of a target that answers, born ${bornMs}`, async () => {
      const {sim, scheduler, outcome} = await runningJob();
      expect(scheduler.acceptReport(foreignReport({bornMs}))).toBe(false);
      await sim.clock.advance(100);
      expect(scheduler.acceptReport(foreignReport({bornMs}))).toBe(false);
      const end = await waitForOutcome(sim.clock, outcome, 4_000);
      expect(end.kind).toBe('completed');
      expect(sim.startsOf(JOB.id)).toBe(1);
      expect(sim.concurrentRuns).toEqual([]);
    });
  }

  // Its own reports counted as those of an earlier incarnation from then on, so
  // it got no task.
  it('leaves the target in use, whose own reports still count', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 1);
    scheduler.acceptReport(foreignReport({capacity: reportOf(T1).capacity}));
    await sim.clock.advance(1_000);
    scheduler.acceptReport({...reportOf(T1), sequence: 2});
    const outcome = scheduler.submit(jobOfOneTask(2));
    const end = await waitForOutcome(sim.clock, outcome, 2_000);
    expect(end.kind).toBe('completed');
  });

  it('neither ends the session of the target nor bars its restart', async () => {
    const {sim, scheduler, outcome} = await runningJob();
    scheduler.acceptReport(foreignReport({state: 'gone'}));
    await sim.clock.advance(100);
    const end = await waitForOutcome(sim.clock, outcome, 4_000);
    expect(end.kind).toBe('completed');
    expect(sim.startsOf(JOB.id)).toBe(1);
    scheduler.acceptReport(sim.restartTarget(T1));
    await sim.clock.advance(20);
    const next = scheduler.submit(jobOfOneTask(2));
    const nextEnd = await waitForOutcome(sim.clock, next, 5_000);
    expect(nextEnd.kind).toBe('completed');
  });

  it('asks the target no more often than reports arrive, one question at a time', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 1);
    // The first hold is answered and its loop has come to rest.
    await sim.clock.advance(1_000);
    const before = sim.holds;
    for (let n = 0; n < 100; n++) {
      scheduler.acceptReport(foreignReport({sequence: n}));
    }
    await sim.clock.advance(1_000);
    expect(sim.holds - before).toBeLessThanOrEqual(2);
  });

  it('starts no task twice and loses no target, whatever it says', async () => {
    const drawn = fc.record({
      port: fc.constantFrom(OTHER_PORT, 10),
      bornMs: fc.constantFrom(0, 2, 50),
      sequence: fc.nat({max: 5}),
      state: fc.constantFrom('ready', 'draining', 'gone'),
      capacity: fc.constantFrom(reportOf(T1).capacity, {
        cores: 0,
        memoryMb: 0,
        accelerators: 0,
      }),
    });
    const waitMs = fc.integer({min: 0, max: 200});
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(drawn, waitMs), {minLength: 1, maxLength: 12}),
        async reports => {
          const {sim, scheduler, outcome} = await runningJob();
          for (const [report, ms] of reports) {
            scheduler.acceptReport(foreignReport(report));
            await sim.clock.advance(ms);
          }
          const end = await waitForOutcome(sim.clock, outcome, 4_000);
          expect(end.kind).toBe('completed');
          expect(sim.startsOf(JOB.id)).toBe(1);
          const before = sim.targets.get(T1)!.starts.length;
          const jobs = [2, 3, 4, 5].map(n => scheduler.submit(jobOfOneTask(n)));
          await sim.clock.advance(100);
          expect(sim.targets.get(T1)!.starts.length).toBeGreaterThan(before);
          const ends = await Promise.all(
            jobs.map(job => waitForOutcome(sim.clock, job, 7_000)),
          );
          expect(ends.map(({kind}) => kind)).toEqual(
            Array(jobs.length).fill('completed'),
          );
        },
      ),
      {seed: 5, numRuns: 100},
    );
  });

  // A target that was lost comes back elsewhere under its id.
  it('is believed at once if nothing listens at the known address', async () => {
    const {sim, scheduler, outcome} = await runningJob();
    sim.faults.movedTo.set(T1, OTHER_PORT);
    const report = {...sim.restartTarget(T1), port: OTHER_PORT};
    scheduler.acceptReport(report);
    await sim.clock.advance(20);
    expect(sim.startsOf(JOB.id)).toBe(2);
    const end = await waitForOutcome(sim.clock, outcome, 5_000);
    expect(end.kind).toBe('completed');
    expect(scheduler.acceptReport({...report, sequence: 2})).toBe(true);
    await expectRunAt(sim, scheduler);
  });

  it('is believed if the known incarnation is already silent', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 1);
    sim.faults.movedTo.set(T1, OTHER_PORT);
    void scheduler.submit(jobOfOneTask(3));
    await sim.clock.advance(400);
    const report = {...sim.restartTarget(T1), port: OTHER_PORT};
    expect(scheduler.acceptReport(report)).toBe(true);
    await expectRunAt(sim, scheduler);
  });

  it('is believed after two unanswered questions', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 1);
    sim.faults.cut.add(T1);
    scheduler.acceptReport(foreignReport());
    await sim.clock.advance(1_000);
    sim.faults.cut.delete(T1);
    const again = foreignReport({sequence: 2});
    expect(scheduler.acceptReport(again)).toBe(true);
  });

  // A scheduler that begins may be told of another writer's report first.
  it('takes the place of a known one that never answered, although it was born before', async () => {
    const sim = new TargetSimulation(1);
    const sound = sim.addTarget();
    const scheduler = sim.scheduler();
    sim.faults.movedTo.set(T1, sound.port);
    scheduler.begin(1);
    scheduler.acceptReport(foreignReport());
    scheduler.acceptReport(sound);
    await sim.clock.advance(50);
    await expectRunAt(sim, scheduler);
  });

  it('is dropped when the scheduler has ended or its target has restarted meanwhile', async () => {
    const sim = new TargetSimulation(1);
    const scheduler = await startScheduler(sim, 1);
    sim.faults.cut.add(T1);
    scheduler.acceptReport(foreignReport({bornMs: 40}));
    scheduler.acceptReport(sim.restartTarget(T1));
    sim.faults.cut.delete(T1);
    await sim.clock.advance(1_000);
    await expectRunAt(sim, scheduler);
    sim.faults.cut.add(T1);
    scheduler.acceptReport(foreignReport());
    scheduler.end();
    await sim.clock.advance(1_000);
    expect(scheduler.acceptReport(foreignReport())).toBe(false);
  });
});

/** Checks that a job is run where the target is now. */
async function expectRunAt(
  sim: TargetSimulation,
  scheduler: Awaited<ReturnType<typeof startScheduler>>,
): Promise<void> {
  const next = scheduler.submit(jobOfOneTask(9));
  const end = await waitForOutcome(sim.clock, next, 5_000);
  expect(end.kind).toBe('completed');
}
