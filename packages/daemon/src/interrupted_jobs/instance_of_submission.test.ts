import type {InstanceId, SubmissionId} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {instanceOfSubmission} from './instance_of_submission.js';
import {submissionIdOf} from './submission_id_of.js';

it('reads the instance from the name of its submission', () => {
  for (const id of ['10.0.1.4:7720', 'vale/centro-1'] as InstanceId[]) {
    expect(instanceOfSubmission(submissionIdOf(id, 7))).toBe(id);
  }
});

it('takes a name of another form as it is', () => {
  expect(instanceOfSubmission('7' as SubmissionId)).toBe('7');
});
