import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import type {JobRecord} from '../_lib/job_record.js';
import {jobOf} from '../_test/job_of.js';
import {WaitingJobs} from './waiting_jobs.js';

function recordOf(n: number, priority = 0): JobRecord {
  return createJobRecord(jobOf(n, {priority}), [60], n, 100, n);
}

describe('WaitingJobs', () => {
  // Each task of a job that was listed twice would be tried twice a round.
  it('lists a job once, and none that has ended', () => {
    const waiting = WaitingJobs.create();
    const record = recordOf(1);
    waiting.enqueue(record);
    waiting.enqueue(record);
    const ended = recordOf(2);
    ended.isConcluded = true;
    waiting.enqueue(ended);
    expect(waiting.list).toEqual([record]);
    waiting.remove(record);
    expect(waiting.size).toBe(0);
  });

  // A job that counts less urgent work as ahead of it is refused for nothing.
  it('counts the waiting tasks of equal or higher urgency as ahead of a job', () => {
    const waiting = WaitingJobs.create();
    const urgent = recordOf(1, 0);
    urgent.tasks[0]!.state = 'done';
    waiting.enqueue(urgent);
    waiting.enqueue(recordOf(2, 2));
    const equal = recordOf(3, 1);
    waiting.enqueue(equal);
    expect(waiting.runTimesAheadMs(recordOf(4, 1), 4)).toEqual(
      Array(7).fill(60),
    );
    expect(waiting.runTimesAheadMs(equal, 4)).toEqual(Array(3).fill(60));
  });

  // A small job was refused for the waiting tasks of a large one that yields to it.
  it('counts no job as ahead that yields', () => {
    const waiting = WaitingJobs.create();
    const large = recordOf(1, 0);
    large.yieldsUntilMs = 100;
    waiting.enqueue(large);
    const small = recordOf(2, 0);
    expect(waiting.runTimesAheadMs(small, 50)).toEqual([]);
    expect(waiting.runTimesAheadMs(small, 100)).toEqual(Array(4).fill(60));
  });

  it('keeps the jobs that have a task to place or to take over', () => {
    const waiting = WaitingJobs.create();
    const placed = recordOf(1);
    placed.tasks.forEach(task => (task.state = 'placed'));
    const claimed = recordOf(2);
    claimed.tasks.forEach(task => (task.state = 'claimed'));
    waiting.enqueue(placed);
    waiting.enqueue(claimed);
    waiting.removePlaced();
    expect(waiting.list).toEqual([claimed]);
    expect(waiting.oldestWaitMs(12)).toBe(10);
  });
});
