import {EMPTY_QUOTE} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {createJobRecord} from '../_lib/create_job_record.js';
import {jobOf} from '../_test/job_of.js';
import {lastTaskStartMs} from './last_task_start_ms.js';

describe('lastTaskStartMs', () => {
  // A job of which one task waits would be kept although others have room.
  it('is the start of the task that waits longest', () => {
    const record = createJobRecord(jobOf(1), [60], 1, 100, 0);
    const quote = {...EMPTY_QUOTE, endsMs: [60, 60, 150, 60]};
    expect(lastTaskStartMs(quote, record)).toBe(90);
  });
});
