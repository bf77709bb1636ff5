import {HOLD_WAIT_SHARE} from '../orphan_end/hold_wait_share.js';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';

/**
 * Longest wait of a hold for an end, so that the next hold renews the lease in
 * time.
 *
 * @param leaseMs - Length of the lease that the hold carries, in milliseconds;
 *   undefined if it carries none.
 * @param timing - Longest lease, and time in which a target stops a run.
 * @returns Milliseconds.
 * @throws Never.
 * @example
 * holdWaitMs(undefined, {maxLeaseMs: 1_000, stopMs: 50}); // 500
 */
export function holdWaitMs(
  leaseMs: number | undefined,
  {maxLeaseMs, stopMs}: Pick<SchedulerTiming, 'maxLeaseMs' | 'stopMs'>,
): number {
  const waitedLeaseMs =
    leaseMs === undefined ? maxLeaseMs : Math.min(leaseMs, maxLeaseMs);
  return Math.floor(Math.max(stopMs, waitedLeaseMs * HOLD_WAIT_SHARE));
}
