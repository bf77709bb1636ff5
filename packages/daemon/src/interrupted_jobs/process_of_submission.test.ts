import type {InstanceId, SubmissionId} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {processOfSubmission} from './process_of_submission.js';
import {submissionIdOf} from './submission_id_of.js';

it('tells the processes of an instance apart by the names of their submissions', () => {
  for (const id of ['10.0.1.4:7720', 'vale/centro-1'] as InstanceId[]) {
    const processes = [
      submissionIdOf(id, 81, 7),
      submissionIdOf(id, 81, 8),
      submissionIdOf(id, 82, 7),
    ].map(processOfSubmission);
    expect(processes).toEqual([`${id}/81`, `${id}/81`, `${id}/82`]);
  }
});

it('reads the instance from a name without a number of its process', () => {
  const name = '10.0.1.4:7720/7' as SubmissionId;
  expect(processOfSubmission(name)).toBe('10.0.1.4:7720');
});

it('takes a name of another form as it is', () => {
  expect(processOfSubmission('7' as SubmissionId)).toBe('7');
});
