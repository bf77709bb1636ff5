import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import {jobOf} from '../_test/job_of.js';
import {jobProblem} from './job_problem.js';

describe('jobProblem', () => {
  it('gives a job up whose caller is about to stop waiting', () => {
    const record = createJobRecord(jobOf(1), [60], 1, 100, 0);
    expect(jobProblem(record, 1, 2_000)).toBeUndefined();
    expect(jobProblem(record, -1, 2_000)).toBe('deadline');
  });

  // A target that never answers would hold the job until its deadline.
  it('gives a job up whose claimed tasks are not confirmed in time', () => {
    const record = createJobRecord(jobOf(1), [60], 1, 100, 0);
    record.tasks[0]!.state = 'claimed';
    expect(jobProblem(record, 2_000, 400)).toBeUndefined();
    expect(jobProblem(record, 2_000, 401)).toBe('schedulerLost');
    record.tasks[0]!.state = 'placed';
    expect(jobProblem(record, 2_000, 401)).toBeUndefined();
  });
});
