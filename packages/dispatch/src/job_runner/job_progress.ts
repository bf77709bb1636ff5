/**
 * Progress of a running job, in tasks.
 */
export interface JobProgress {
  readonly tasks: number;
  readonly finished: number;
}
