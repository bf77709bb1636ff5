import type {JobId, TaskId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {DoneTasks} from './done_tasks.js';

describe('DoneTasks', () => {
  it('knows the tasks of a job that were added, and no others', () => {
    const done = DoneTasks.create();
    done.add('a' as JobId, 'a.0.0.1' as TaskId);
    expect(done.has('a' as JobId, 'a.0.0.1' as TaskId)).toBe(true);
    expect(done.has('a' as JobId, 'a.0.0.2' as TaskId)).toBe(false);
    expect(done.has('b' as JobId, 'a.0.0.1' as TaskId)).toBe(false);
  });

  it('drops the tasks of the first job once there are too many jobs', () => {
    const done = DoneTasks.create();
    for (let n = 0; n <= 1_024; n++) {
      done.add(`${n}` as JobId, `${n}.0.0.0` as TaskId);
    }
    expect(done.has('0' as JobId, '0.0.0.0' as TaskId)).toBe(false);
    expect(done.has('1' as JobId, '1.0.0.0' as TaskId)).toBe(true);
    expect(done.has('1024' as JobId, '1024.0.0.0' as TaskId)).toBe(true);
  });
});
