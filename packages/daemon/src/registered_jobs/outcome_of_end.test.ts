import {describe, expect, it} from 'vitest';
import {jobEndOf} from './job_end_of.js';
import {outcomeOfEnd} from './outcome_of_end.js';

describe('outcomeOfEnd', () => {
  it.each(['completed', 'failed'] as const)('is an outcome of %s', end => {
    expect(jobEndOf(outcomeOfEnd(end))).toBe(end);
  });
});
