import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';
import {HOLD_WAIT_SHARE} from './hold_wait_share.js';

/**
 * Time in which the jobs of a scheduler that knows of its successor arrive there,
 * in milliseconds.
 */
const HANDOVER_MS = 300;

/** What a successor knows of an unclaimed run of an earlier scheduler. */
interface UnclaimedRun {
  /** Monotonic time at which the run was first listed, in milliseconds. */
  readonly firstSeenMs: number;
  /**
   * Monotonic time at which the first job was handed over to the successor, in
   * milliseconds; undefined if none was.
   */
  readonly handedOverMs: number | undefined;
  /** Whether the earlier scheduler may not know of its successor yet. */
  readonly mayHandOverLate: boolean;
}

/**
 * Time at which an unclaimed run of an earlier scheduler is stopped.
 *
 * @description A scheduler that hears nothing of its grants learns of its
 * successor by the answer to a hold, which may wait since before the successor's
 * first order. It hands all its jobs over at once.
 * @param run - What is known of the run.
 * @param timing - Longest lease of the targets.
 * @returns Monotonic time in milliseconds.
 * @throws Never.
 * @example
 * const timing = {maxLeaseMs: 1_000, stopMs: 50, reportMs: 0};
 * const run = {firstSeenMs: 0, handedOverMs: undefined, mayHandOverLate: true};
 * orphanEndMs(run, timing); // 800
 * orphanEndMs({...run, handedOverMs: 100}, timing); // 400
 */
export function orphanEndMs(
  {firstSeenMs, handedOverMs, mayHandOverLate}: UnclaimedRun,
  {maxLeaseMs}: SchedulerTiming,
): number {
  const latestMs = firstSeenMs + HOLD_WAIT_SHARE * maxLeaseMs + HANDOVER_MS;
  if (handedOverMs !== undefined) {
    const fromMs = Math.max(firstSeenMs, handedOverMs);
    return Math.min(latestMs, fromMs + HANDOVER_MS);
  }
  return mayHandOverLate ? latestMs : firstSeenMs + HANDOVER_MS;
}
