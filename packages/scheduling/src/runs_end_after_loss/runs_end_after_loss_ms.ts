import {longestLeaseMs} from '../longest_lease/longest_lease_ms.js';
import {runPermissionEndMs} from '../run_permission/run_permission_end_ms.js';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';

/**
 * Time after the loss of the scheduler of a run, or of the instance that waits for
 * its job, by which the run has ended.
 *
 * @description A scheduler that can't tell the loss from a pause, and whose stops
 * are lost, renews the lease of a run for as long as it is permitted.
 * @param timing - Longest lease and stop time of the targets, and time after which
 *   callers send a job again.
 * @returns Time in milliseconds.
 * @throws Never.
 * @example
 * const timing = {maxLeaseMs: 980, stopMs: 50, reportMs: 0, resendMs: 1_300};
 * runsEndAfterLossMs(timing); // 1_250
 */
export function runsEndAfterLossMs(timing: SchedulerTiming): number {
  const leaseMs = longestLeaseMs(timing);
  const permittedMs = runPermissionEndMs(0, timing) + timing.stopMs;
  return Number.isFinite(permittedMs)
    ? Math.max(leaseMs, permittedMs)
    : leaseMs;
}
