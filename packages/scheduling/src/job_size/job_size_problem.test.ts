import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {jobSizeProblem} from './job_size_problem.js';

describe('jobSizeProblem', () => {
  it('accepts 10,000 tasks, in one step or in many', () => {
    expect(jobSizeProblem([{count: 10_000}])).toBeUndefined();
    const steps = Array.from({length: 10_000}, () => ({count: 1}));
    expect(jobSizeProblem(steps)).toBeUndefined();
  });

  it('names the field and the number of tasks of a larger job', () => {
    const steps = Array.from({length: 50}, () => ({count: 10_000}));
    expect(jobSizeProblem(steps)).toBe(
      'steps: the job has 500000 tasks, more than 10000',
    );
  });

  it('depends on the number of tasks alone', () => {
    const counts = fc.array(fc.integer({min: 1, max: 10_000}), {maxLength: 20});
    fc.assert(
      fc.property(counts, list => {
        const steps = list.map(count => ({count}));
        const total = list.reduce((sum, count) => sum + count, 0);
        expect(jobSizeProblem(steps) !== undefined).toBe(total > 10_000);
      }),
    );
  });
});
