/**
 * Periods and bounds of a scheduler, in milliseconds.
 */
export interface SchedulerTiming {
  /** Longest lease that targets grant. */
  readonly maxLeaseMs: number;
  /** Longest time that a target takes to stop a run. */
  readonly stopMs: number;
  /** Period in which each target reports itself. */
  readonly reportMs: number;
}
