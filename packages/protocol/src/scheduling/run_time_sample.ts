/**
 * Run time of a task that completed successfully.
 */
export interface RunTimeSample {
  /** Run time that the caller declared, in milliseconds. */
  readonly declaredMs: number;
  /** Measured run time, normalised by the target's speed, in milliseconds. */
  readonly ranMs: number;
}
