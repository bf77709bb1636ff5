import type {ScheduledStep, TargetId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobOf} from '../_test/job_of.js';
import {NEEDS} from '../_test/simulation_values.js';
import {TargetSimulation} from '../_test/target_simulation.js';
import {waitForOutcome} from '../_test/wait_for_outcome.js';

const RUN_MS = 60;
const TARGETS = 4;

interface Start {
  readonly targetId: TargetId;
  readonly step: number;
  readonly atMs: number;
}

/** Runs a job on four targets, the first two of which are of kind `a`. */
async function startsOf(
  steps: ReadonlyArray<Partial<ScheduledStep>>,
): Promise<readonly Start[]> {
  const sim = new TargetSimulation(1, RUN_MS);
  const scheduler = sim.scheduler();
  scheduler.begin(1);
  for (let n = 0; n < TARGETS; n++) {
    scheduler.acceptReport({
      ...sim.addTarget(),
      labels: [n < 2 ? 'a' : 'b', `rack-${n}`],
    });
  }
  await sim.clock.advance(20);
  const [step] = jobOf(1).steps;
  const job = jobOf(1, {
    isPromised: true,
    steps: steps.map(overrides => ({...step!, needs: NEEDS, ...overrides})),
  });
  const outcome = scheduler.submit(job);
  const end = await waitForOutcome(sim.clock, outcome, 3_000);
  expect(end.kind).toBe('completed');
  return [...sim.targets].flatMap(([targetId, {starts}]) =>
    starts.map(({taskId, atMs}) => ({
      targetId,
      step: Number(taskId.split('.')[2]),
      atMs,
    })),
  );
}

function times(starts: readonly Start[], step: number): number[] {
  return starts.filter(s => s.step === step).map(({atMs}) => atMs);
}

describe('The steps of a job', () => {
  // A later step that began early would read what isn't there yet.
  it('start when all tasks of the steps that they name are done', async () => {
    const starts = await startsOf([
      {count: 3},
      {count: 5, after: [0]},
      {count: 2, after: [0, 1]},
      {count: 1},
    ]);
    expect(starts).toHaveLength(11);
    for (const [earlier, later] of [
      [0, 1],
      [0, 2],
      [1, 2],
    ] as const) {
      const endMs = Math.max(...times(starts, earlier)) + RUN_MS;
      expect(Math.min(...times(starts, later))).toBeGreaterThanOrEqual(endMs);
    }
    // One that names none doesn't wait.
    expect(Math.min(...times(starts, 3))).toBeLessThan(
      Math.min(...times(starts, 1)),
    );
  });

  it('run on targets with the label that they require, and on no other', async () => {
    const starts = await startsOf([
      {count: 8, requiredLabel: 'a'},
      {count: 2, requiredLabel: 'rack-3'},
    ]);
    const targetsOf = (step: number): Set<TargetId> =>
      new Set(starts.filter(s => s.step === step).map(s => s.targetId));
    expect([...targetsOf(0)].sort()).toEqual(['t1', 't2']);
    expect([...targetsOf(1)]).toEqual(['t4']);
  });

  it('have no more tasks on a target than they allow', async () => {
    const starts = await startsOf([{count: 4, maxPerTarget: 1}]);
    expect(new Set(starts.map(s => s.targetId)).size).toBe(TARGETS);
  });
});
