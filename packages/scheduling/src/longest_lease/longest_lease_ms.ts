import {MAX_CLOCK_DRIFT} from '../_lib/max_clock_drift.js';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';

/**
 * Longest time for which runs go on that nobody renews the lease of.
 *
 * @param timing - Longest lease and stop time of the targets.
 * @returns Time from the last renewal to the end of the runs, in milliseconds.
 * @throws Never.
 * @example
 * longestLeaseMs({maxLeaseMs: 980, stopMs: 50, reportMs: 0}); // 1_050
 */
export function longestLeaseMs({maxLeaseMs, stopMs}: SchedulerTiming): number {
  return maxLeaseMs / (1 - MAX_CLOCK_DRIFT) + stopMs;
}
