import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';

/**
 * Time for a message to arrive and for an order to be carried out, in
 * milliseconds.
 */
const ORDER_SLACK_MS = 50;

/**
 * Time by which the lease of a run has to end unless more is heard of those that
 * wait for its job.
 *
 * @description The caller of an instance that is frozen or cut off may send its
 * job again by another one, to a scheduler that knows nothing of the run.
 * @param heardMs - Monotonic time at which an instance that waits for the job was
 *   last known to do so, in milliseconds.
 * @param timing - Time after which callers send a job again, and stop time of the
 *   targets.
 * @returns Monotonic time in milliseconds; infinite if callers send nothing
 *   again.
 * @throws Never.
 * @example
 * const timing = {maxLeaseMs: 1_000, stopMs: 50, reportMs: 0, resendMs: 1_300};
 * runPermissionEndMs(5_000, timing); // 6_200
 */
export function runPermissionEndMs(
  heardMs: number,
  {resendMs, stopMs}: SchedulerTiming,
): number {
  return resendMs === undefined
    ? Infinity
    : heardMs + Math.max(0, resendMs - stopMs - ORDER_SLACK_MS);
}
