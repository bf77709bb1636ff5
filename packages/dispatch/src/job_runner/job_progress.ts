/**
 * How far a running job is.
 */
export interface JobProgress {
  readonly tasks: number;
  readonly finished: number;
}
