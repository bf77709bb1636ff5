import type {JobId, KindId, ScheduledJob, ServiceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {compareWaitingJobs} from './compare_waiting_jobs.js';
import {createJobRecord} from './create_job_record.js';
import type {JobRecord} from './job_record.js';

const RUN_MS = 60;

/** Record of a job that arrived at `atMs`, with an objective of 156 ms. */
function recordOf(sequence: number, priority: number, atMs = 0): JobRecord {
  const needs = {cores: 14, memoryMb: 64, accelerators: 0};
  const job: ScheduledJob = {
    id: '5c0e7a21d94b36f8' as JobId,
    kind: 'relato' as KindId,
    service: 'falhas' as ServiceId,
    spec: '',
    steps: [{count: 1, firstIndex: 0, needs, estimateMs: RUN_MS, after: []}],
    priority,
    maxAttempts: 1,
    stretch: 1.6,
    slackMs: 60,
    ageMs: 0,
    leftMs: 1_500,
    isPromised: false,
  };
  return createJobRecord(job, [RUN_MS], sequence, 60, atMs);
}

describe('compareWaitingJobs', () => {
  it('puts the more urgent job first, even when it is late', () => {
    expect(
      compareWaitingJobs(recordOf(2, 0), recordOf(1, 1), 900),
    ).toBeLessThan(0);
  });

  it('keeps the order of arrival while both jobs can meet their objective', () => {
    expect(compareWaitingJobs(recordOf(1, 0), recordOf(2, 0), 50)).toBeLessThan(
      0,
    );
  });

  it('puts a late job last under overload, so that it does not make others late', () => {
    const late = recordOf(1, 0);
    const fresh = recordOf(2, 0, 100);
    expect(compareWaitingJobs(late, fresh, 96)).toBeLessThan(0);
    expect(compareWaitingJobs(late, fresh, 97)).toBeGreaterThan(0);
  });

  // A job of hundreds of tasks had the jobs of one task behind it refused.
  it('puts a job of many tasks behind others while it has time to spare', () => {
    const large = recordOf(1, 0);
    large.yieldsUntilMs = 40;
    expect(compareWaitingJobs(large, recordOf(2, 0), 39)).toBeGreaterThan(0);
    expect(compareWaitingJobs(large, recordOf(2, 0), 41)).toBeLessThan(0);
    expect(compareWaitingJobs(large, recordOf(2, 1), 39)).toBeLessThan(0);
  });
});
