import type {JobId, RegisteredJob, RegistrationId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {checkRegisteredJob} from './check_registered_job.js';

const JOB: RegisteredJob = {
  jobId: '5c0e7a21d94b36f8' as JobId,
  registrationId: 'centro-1/81/7' as RegistrationId,
  endsWithinMs: 2_750,
  runsEndAfterLossMs: 1_250,
};

describe('checkRegisteredJob', () => {
  it('accepts a registration, also with fields of a later version', () => {
    const job = {...JOB, later: true};
    expect(checkRegisteredJob(job)).toBe(job);
  });

  it.each([
    ['jobId', 7],
    ['registrationId', undefined],
    ['endsWithinMs', NaN],
    ['runsEndAfterLossMs', -1],
  ])('names %s if it is %s', (field, value) => {
    const job = {...JOB, [field]: value} as RegisteredJob;
    expect(() => checkRegisteredJob(job)).toThrow(field);
  });

  it('refuses what is no registration', () => {
    expect(() => checkRegisteredJob(null as unknown as RegisteredJob)).toThrow(
      'jobId',
    );
  });
});
