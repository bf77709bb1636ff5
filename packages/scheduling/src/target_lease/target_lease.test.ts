import type {ScheduledJob, TaskId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {MAX_CLOCK_DRIFT} from '../_lib/max_clock_drift.js';
import type {RunRecord} from '../_lib/run_record.js';
import {jobOf} from '../_test/job_of.js';
import {TargetLease} from './target_lease.js';

const TIMING = {maxLeaseMs: 1_000, stopMs: 50, reportMs: 0};
const TASK = 'a.0.0.0' as TaskId;

function runOf(job: ScheduledJob, permittedUntilMs: number): RunRecord {
  return {
    taskId: TASK,
    job,
    runNumber: 1,
    needs: job.steps[0]!.needs,
    state: 'running',
    orderedMs: 0,
    confirmedMs: 0,
    isListed: true,
    mayBeLost: false,
    isOverdueChecked: false,
    expectedMs: 60,
    leaseEndMs: 1_000,
    isAdopted: false,
    permittedUntilMs,
    isCrashRecorded: false,
    abandonedMs: undefined,
  };
}

function leaseOf(
  runs: ReadonlyMap<TaskId, RunRecord>,
  permittedUntilMs = Infinity,
): TargetLease {
  const host = {
    clock: {now: () => 0},
    timing: TIMING,
    permissionEndMs: () => permittedUntilMs,
  };
  const lease = TargetLease.create(host, runs);
  lease.recordReading(0, 0);
  return lease;
}

describe('TargetLease', () => {
  it('grants the longest lease without runs that have to end sooner', () => {
    expect(leaseOf(new Map()).newEndMs()).toBe(1_000);
  });

  // The caller may send the job again while its run goes on under the lease.
  it('ends with the permission of any of its runs', () => {
    const runs = new Map([[TASK, runOf(jobOf(1), 300)]]);
    const endMs = leaseOf(runs, 300).newEndMs();
    // On the target's clock, which may run slow.
    expect(endMs).toBeLessThanOrEqual(300);
    expect(endMs).toBeGreaterThanOrEqual(300 * (1 - MAX_CLOCK_DRIFT));
    expect(leaseOf(runs, 300).isShort).toBe(true);
  });

  it('moves on while those that wait for the job are heard', () => {
    const runs = new Map([[TASK, runOf(jobOf(1), 300)]]);
    expect(leaseOf(runs, 5_000).newEndMs()).toBe(1_000);
    expect(leaseOf(runs, 5_000).isShort).toBe(false);
  });

  it('gives a run that was given up no more than a whole lease from then on', () => {
    const lease = leaseOf(new Map([[TASK, runOf(jobOf(1), Infinity)]]));
    expect(lease.renewedEndMs(-400)).toBeLessThanOrEqual(600);
    expect(lease.renewedEndMs(undefined)).toBe(1_000);
  });

  // Runs on a target that refuses connections would count as going on for each
  // hold that was never sent.
  it('takes back a lease that was not sent, unless a later one was recorded', () => {
    const lease = leaseOf(new Map());
    lease.record(500);
    const previousMs = lease.expiredByMs;
    lease.record(1_000);
    const recordedMs = lease.expiredByMs;
    lease.takeBack(recordedMs, previousMs);
    expect(lease.expiredByMs).toBe(previousMs);
    lease.record(2_000);
    lease.takeBack(recordedMs, previousMs);
    expect(lease.expiredByMs).toBeGreaterThan(recordedMs);
  });
});
