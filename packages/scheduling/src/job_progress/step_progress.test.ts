import type {ScheduledStep} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import type {JobRecord} from '../_lib/job_record.js';
import {jobOf} from '../_test/job_of.js';
import {StepProgress} from './step_progress.js';
import {unblockSteps} from './unblock_steps.js';

const [STEP] = jobOf(0).steps as [ScheduledStep];

function recordOf(
  steps: ReadonlyArray<Pick<ScheduledStep, 'count' | 'after'>>,
): JobRecord {
  const job = jobOf(1, {steps: steps.map(step => ({...STEP, ...step}))});
  const expectedMs = steps.map(() => 60);
  return createJobRecord(job, expectedMs, 1, 100, 0);
}

/** Steps that depend on any earlier ones. */
const anySteps = fc
  .array(fc.tuple(fc.integer({min: 1, max: 3}), fc.array(fc.nat(7))), {
    minLength: 1,
    maxLength: 8,
  })
  .map(list =>
    list.map(([count, after], n) => ({count, after: after.filter(m => m < n)})),
  );

describe('StepProgress', () => {
  // A step would never begin, or begin before the results that it reads.
  it('unblocks the steps that unblockSteps does, in any order of the ends', () => {
    fc.assert(
      fc.property(anySteps, fc.array(fc.nat(100)), (steps, order) => {
        const record = recordOf(steps);
        const other = recordOf(steps);
        const progress = StepProgress.create(record);
        for (let n = 0; !progress.isJobDone(); n++) {
          const waiting = record.tasks.filter(t => t.state === 'waiting');
          const task = waiting[(order[n] ?? 0) % waiting.length]!;
          task.state = 'done';
          other.tasks[record.tasks.indexOf(task)]!.state = 'done';
          const before = record.tasks.filter(t => t.state === 'blocked');
          const isAnyUnblocked = progress.unblockAfter(task.stepIndex);
          unblockSteps(other);
          const states = record.tasks.map(({state}) => state);
          expect(states).toEqual(other.tasks.map(({state}) => state));
          expect(isAnyUnblocked).toBe(
            before.some(({state}) => state !== 'blocked'),
          );
        }
        expect(record.tasks.every(t => t.state === 'done')).toBe(true);
      }),
    );
  });

  // Each end of a task took time in proportion to the steps of its job.
  it('looks at each task a few times in all', () => {
    const steps = Array.from({length: 9_000}, (_, n) => ({
      count: 1,
      after: n < 2 ? [] : [n - 2, n - 1],
    }));
    const {tasks, ...rest} = recordOf(steps);
    let reads = 0;
    const counted = new Proxy(tasks, {
      get: (target, key, receiver) => {
        reads++;
        return Reflect.get(target, key, receiver) as unknown;
      },
    });
    const progress = StepProgress.create({...rest, tasks: counted});
    for (const task of tasks) {
      task.state = 'done';
      progress.unblockAfter(task.stepIndex);
      progress.isJobDone();
    }
    expect(progress.isJobDone()).toBe(true);
    expect(reads).toBeLessThan(20 * steps.length);
  });
});
