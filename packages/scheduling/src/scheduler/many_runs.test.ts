import type {
  JobOutcome,
  Resources,
  ScheduledStep,
  ShardId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {MAX_LEASE_MS, STOP_MS} from '../_test/simulation_values.js';
import {UnlimitedTargets} from '../_test/unlimited_targets.js';
import {CrashEvidence} from '../crash_evidence/crash_evidence.js';
import {RunTimeEstimator} from '../run_time_estimator/run_time_estimator.js';
import {Scheduler} from './scheduler.js';

const TARGETS = 4;
const TASKS = 10_000;
const STEPS = 9_000;
const LEFT_MS = 4_000;
const [STEP] = jobOf(0).steps as [ScheduledStep];

/** What a scheduler did for a job. */
interface Work {
  outcome: JobOutcome | undefined;
  /** Number of times that the needs of a task were looked at. */
  needsRead: number;
  /** Number of times that it asked when those that wait were heard. */
  heardRead: number;
  /** Number of times that it asked whether the job may be placed. */
  rounds: number;
  readonly targets: UnlimitedTargets;
}

/** Schedules a job whose tasks need nothing, until its deadline has passed. */
async function schedule(
  steps: ReadonlyArray<Pick<ScheduledStep, 'count' | 'after'>>,
  runMs: number,
  slots = Infinity,
): Promise<Work> {
  const clock = VirtualClock.create();
  const random = SeededRandom.create(1);
  const work: Work = {
    outcome: undefined,
    needsRead: 0,
    heardRead: 0,
    rounds: 0,
    targets: new UnlimitedTargets(clock, random, runMs, slots),
  };
  const needs: Resources = {
    get cores() {
      work.needsRead++;
      return 0;
    },
    memoryMb: 0,
    accelerators: 0,
  };
  const scheduler = Scheduler.create({
    targetClient: work.targets,
    clock,
    log: SilentLog.create(),
    timing: {maxLeaseMs: MAX_LEASE_MS, stopMs: STOP_MS, reportMs: 0},
    shard: 'centro' as ShardId,
    estimator: RunTimeEstimator.create(),
    crashes: CrashEvidence.create(() => undefined),
    shardCount: () => 1,
    evacuationPhase: () => ({kind: 'inService'}),
    ownsTarget: () => true,
    loopLagMs: () => 0,
    requesterHeardMs: () => {
      work.heardRead++;
      return clock.now();
    },
    otherRunsForMs: () => {
      work.rounds++;
      return 0;
    },
    onFenced: () => undefined,
    onOutcome: () => undefined,
  });
  scheduler.begin(1);
  for (let n = 0; n < TARGETS; n++) {
    scheduler.acceptReport(work.targets.addTarget());
  }
  await clock.advance(20);
  const job = jobOf(1, {
    steps: steps.map(step => ({...STEP, ...step, needs})),
    leftMs: LEFT_MS,
    slackMs: 1e9,
  });
  void scheduler.submit(job).then(outcome => (work.outcome = outcome));
  await clock.advance(LEFT_MS + 200);
  scheduler.end();
  return work;
}

/**
 * Expects work in proportion to the tasks. Work in proportion to their square would
 * be 10,000 for each.
 */
function expectLinear(
  {needsRead, heardRead, rounds, targets}: Work,
  tasks: number,
): void {
  expect(needsRead).toBeLessThan(200 * tasks);
  expect(heardRead).toBeLessThan(20 * tasks);
  expect(targets.listed).toBeLessThan(200 * tasks);
  expect(targets.orders).toBeLessThanOrEqual(TARGETS * tasks);
  // The targets were ejected, since orders had not been sent in time.
  expect(targets.mostUnanswered).toBeLessThanOrEqual(64);
  // Each looks at all tasks of the job.
  expect(rounds).toBeLessThan(1_000);
}

// Guards against a process that does nothing but compute until the deadline of such a
// job, while others wait.
describe('Scheduler.submit of a job with thousands of runs at once', () => {
  it('completes tasks that need nothing with work in proportion to their number', async () => {
    const work = await schedule([{count: TASKS, after: []}], 60);
    expect(work.outcome).toMatchObject({kind: 'completed'});
    expectLinear(work, TASKS);
  }, 60_000);

  it('completes steps of one task with work in proportion to their number', async () => {
    const steps = Array.from({length: STEPS}, (_, n) => ({
      count: 1,
      after: n < 1_000 ? [] : [n - 1_000],
    }));
    const work = await schedule(steps, 60);
    expect(work.outcome).toMatchObject({kind: 'completed'});
    expectLinear(work, STEPS);
  }, 60_000);

  // Each overdue run, and each stopped one, asked for a list of all runs.
  it('gives up tasks that take too long with work in proportion to their number', async () => {
    const work = await schedule([{count: TASKS, after: []}], 1.5 * LEFT_MS);
    expect(work.outcome).toMatchObject({kind: 'failed', reason: 'deadline'});
    expectLinear(work, TASKS);
  }, 60_000);

  // Each rejection was followed by a round over all tasks.
  it('bounds the work for tasks that their targets reject', async () => {
    const work = await schedule([{count: TASKS, after: []}], 60, 64);
    expectLinear(work, TASKS);
  }, 60_000);
});
