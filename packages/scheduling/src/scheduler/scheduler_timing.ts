/**
 * Periods and time limits of a scheduler, in milliseconds.
 */
export interface SchedulerTiming {
  /** Longest lease that targets grant. */
  readonly maxLeaseMs: number;
  /** Longest time in which a target stops a run. */
  readonly stopMs: number;
  /** Period of the reports of each target. */
  readonly reportMs: number;
  /**
   * Time after a lost answer at which a caller sends its job again; absent where
   * callers don't.
   */
  readonly resendMs?: number;
}
