import type {JobId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import type {JobRecord} from '../_lib/job_record.js';
import {jobOf} from '../_test/job_of.js';
import {OpenJobs} from './open_jobs.js';

function recordOf(n: number): JobRecord {
  return createJobRecord(jobOf(n), [60], n, 100, 0);
}

describe('OpenJobs', () => {
  // A count that drifts would refuse all jobs, or bound nothing.
  it('counts the tasks of a job until it is removed, once', () => {
    const jobs = OpenJobs.create();
    const record = recordOf(1);
    jobs.add(record);
    expect(jobs.taskCount).toBe(4);
    jobs.remove(record);
    jobs.remove(record);
    jobs.remove(recordOf(2));
    expect(jobs.taskCount).toBe(0);
  });

  // Other parts of a promised job may have begun elsewhere.
  it('has room for promised parts when it has none for new jobs', () => {
    const jobs = OpenJobs.create();
    const [step] = jobOf(1).steps;
    const steps = [{...step!, count: 9_999}];
    for (let n = 1; n <= 10; n++) {
      jobs.add(createJobRecord(jobOf(n, {steps}), [60], n, 100, 0));
    }
    const next = jobOf(11, {steps});
    expect(jobs.hasNoRoomFor(next)).toBe(true);
    expect(jobs.hasNoRoomFor({...next, isPromised: true})).toBe(false);
  });

  it('finds a job by its id', () => {
    const jobs = OpenJobs.create();
    const record = recordOf(1);
    jobs.add(record);
    expect(jobs.withId(record.job.id)).toEqual([record]);
    expect(jobs.withId('0' as JobId)).toEqual([]);
  });
});
