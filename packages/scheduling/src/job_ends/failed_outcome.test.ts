import {describe, expect, it} from 'vitest';
import {failedOutcome} from './failed_outcome.js';

describe('failedOutcome', () => {
  // A caller that is told so may run the job again elsewhere, twice at once.
  it('never says that a job has not run which may have', () => {
    expect(failedOutcome('deadline', true)).toEqual({
      kind: 'failed',
      reason: 'deadline',
    });
  });

  it('refuses a job of which nothing has run, with the reason', () => {
    expect(failedOutcome('deadline', false)).toMatchObject({
      kind: 'refused',
      reason: 'tooLate',
    });
    expect(failedOutcome('evacuated', false)).toMatchObject({
      kind: 'refused',
      reason: 'evacuated',
    });
  });

  // Its entry would submit the cancelled job to another data centre.
  it('does not refuse a job that its caller has cancelled', () => {
    expect(failedOutcome('cancelledByCaller', false).kind).toBe('failed');
  });
});
