import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import type {JobRecord} from '../_lib/job_record.js';
import {jobOf} from '../_test/job_of.js';
import {unblockSteps} from './unblock_steps.js';

/** Steps 0 and 1 with two tasks each, and step 2 after both. */
function createRecord(): JobRecord {
  const [step] = jobOf(1).steps;
  const steps = [
    {...step!, count: 2},
    {...step!, count: 2},
    {...step!, count: 2, after: [0, 1]},
  ];
  return createJobRecord(jobOf(1, {steps}), [60, 60, 60], 1, 100, 0);
}

function finish(record: JobRecord, stepIndex: number): void {
  record.tasks
    .filter(task => task.stepIndex === stepIndex)
    .forEach(task => (task.state = 'done'));
}

describe('unblockSteps', () => {
  // The later step would read results that are not there.
  it('keeps a step back until all of its earlier steps are done', () => {
    const record = createRecord();
    finish(record, 0);
    record.tasks[2]!.state = 'done';
    unblockSteps(record);
    expect(record.tasks.slice(4).map(({state}) => state)).toEqual([
      'blocked',
      'blocked',
    ]);
  });

  it('lets a step wait for targets when its earlier steps are done', () => {
    const record = createRecord();
    finish(record, 0);
    finish(record, 1);
    unblockSteps(record);
    expect(record.tasks.slice(4).map(({state}) => state)).toEqual([
      'waiting',
      'waiting',
    ]);
  });

  // A task that runs would be started again.
  it('leaves tasks as they are that are not blocked', () => {
    const record = createRecord();
    finish(record, 0);
    finish(record, 1);
    record.tasks[4]!.state = 'placed';
    unblockSteps(record);
    expect(record.tasks[4]!.state).toBe('placed');
  });
});
