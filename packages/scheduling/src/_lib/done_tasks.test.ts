import type {JobId, TaskId} from '@papayarun/protocol';
import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {DoneTasks} from './done_tasks.js';

function addJobs(done: DoneTasks, from: number, to: number): void {
  for (let n = from; n <= to; n++) {
    done.add(`${n}` as JobId, `${n}.0.0.0` as TaskId);
  }
}

function has(done: DoneTasks, n: number): boolean {
  return done.has(`${n}` as JobId, `${n}.0.0.0` as TaskId);
}

describe('DoneTasks', () => {
  it('knows the tasks of a job that were added, and no others', () => {
    const done = DoneTasks.create(VirtualClock.create());
    done.add('a' as JobId, 'a.0.0.1' as TaskId);
    expect(done.has('a' as JobId, 'a.0.0.1' as TaskId)).toBe(true);
    expect(done.has('a' as JobId, 'a.0.0.2' as TaskId)).toBe(false);
    expect(done.has('b' as JobId, 'a.0.0.1' as TaskId)).toBe(false);
  });

  it('drops the tasks of the first job once there are too many old jobs', async () => {
    const clock = VirtualClock.create();
    const done = DoneTasks.create(clock);
    addJobs(done, 0, 1_023);
    await clock.advance(10_000);
    expect(has(done, 0)).toBe(true);
    addJobs(done, 1_024, 1_024);
    expect(has(done, 0)).toBe(false);
    expect(has(done, 1)).toBe(true);
    expect(has(done, 1_024)).toBe(true);
  });

  it('keeps the tasks of all jobs whose callers may still come back', async () => {
    const clock = VirtualClock.create();
    const done = DoneTasks.create(clock);
    for (let n = 0; n < 9_000; n += 100) {
      addJobs(done, n, n + 99);
      await clock.advance(100);
    }
    expect(has(done, 0)).toBe(true);
  });

  it('counts the time of a job from its last task', async () => {
    const clock = VirtualClock.create();
    const done = DoneTasks.create(clock);
    addJobs(done, 0, 0);
    await clock.advance(9_000);
    done.add('0' as JobId, '0.0.0.1' as TaskId);
    await clock.advance(9_000);
    addJobs(done, 1, 2_000);
    expect(has(done, 0)).toBe(true);
  });

  it('keeps a bounded number of jobs', () => {
    const done = DoneTasks.create(VirtualClock.create());
    addJobs(done, 0, 16_384);
    expect(has(done, 0)).toBe(false);
    expect(has(done, 1)).toBe(true);
  });
});
