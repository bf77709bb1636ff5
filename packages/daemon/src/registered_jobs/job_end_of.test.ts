import {EMPTY_QUOTE} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {jobEndOf} from './job_end_of.js';

describe('jobEndOf', () => {
  it('is the end of a job that has run', () => {
    expect(jobEndOf({kind: 'completed', samples: []})).toBe('completed');
    expect(jobEndOf({kind: 'failed', reason: 'taskFailed'})).toBe('failed');
  });

  it('is undefined for a job that may run again', () => {
    expect(jobEndOf({kind: 'failed', reason: 'deadline'})).toBeUndefined();
    expect(jobEndOf({kind: 'handedOver', placed: []})).toBeUndefined();
    expect(
      jobEndOf({
        kind: 'refused',
        reason: 'tooLate',
        retryAfterMs: 250,
        quote: EMPTY_QUOTE,
      }),
    ).toBeUndefined();
  });
});
