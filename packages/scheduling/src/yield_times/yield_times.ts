/**
 * Multiple of its duration before its end from which a job no longer yields. At 1
 * it would count as late as soon as it no longer yields.
 */
const YIELD_MARGIN = 1.1;

/** Remaining work of a job that needs its slots more than once. */
interface RemainingWork {
  /** Slots for its tasks at the scheduler, busy or free; at least 1. */
  readonly slots: number;
  /** Sum of the expected run times of tasks that haven't begun, in milliseconds. */
  readonly workMs: number;
  readonly criticalPathMs: number;
  /** Monotonic time by which it should end, in milliseconds. */
  readonly endByMs: number;
}

/** Times at which the place of a job in the order changes. */
interface YieldTimes {
  /** Monotonic time until which it lets others go first, in milliseconds. */
  readonly yieldsUntilMs: number;
  /** Monotonic time from which it can't end in time, in milliseconds. */
  readonly lateFromMs: number;
}

/**
 * Times at which a job of many tasks changes its place among those of its
 * priority.
 *
 * @description Load pattern: a job of hundreds of tasks takes all slots for a
 * second, and jobs of one task that come behind it would be late. Each of them
 * costs the large job a few milliseconds, which it can spare. It therefore yields
 * for as long as it could still be done afterwards; then it goes by its arrival
 * like the others, so that it isn't starved. When it can't be done in time any
 * more, its work is of little use and goes last.
 * @param work - Remaining work and slots of the job.
 * @returns The times.
 * @throws Never.
 * @example
 * yieldTimes({slots: 24, workMs: 24_000, criticalPathMs: 60, endByMs: 6_000});
 * // {yieldsUntilMs: 4_834, lateFromMs: 4_940}
 */
export function yieldTimes({
  slots,
  workMs,
  criticalPathMs,
  endByMs,
}: RemainingWork): YieldTimes {
  const durationMs = workMs / slots + criticalPathMs;
  return {
    yieldsUntilMs: endByMs - YIELD_MARGIN * durationMs,
    lateFromMs: endByMs - durationMs,
  };
}
