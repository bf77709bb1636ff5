/**
 * Durations of the phases.
 */
export interface EvacuationTiming {
  /** Time in which jobs that have begun may start further tasks, in milliseconds. */
  readonly graceMs: number;
  /** Time in which the targets are taken back one after the other, in milliseconds. */
  readonly returnMs: number;
}
