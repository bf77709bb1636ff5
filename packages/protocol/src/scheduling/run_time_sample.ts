/**
 * Run time of a task that ended as done.
 */
export interface RunTimeSample {
  /** What the caller had declared, in milliseconds. */
  readonly declaredMs: number;
  /** How long it ran, corrected for the target's pace; in milliseconds. */
  readonly ranMs: number;
}
