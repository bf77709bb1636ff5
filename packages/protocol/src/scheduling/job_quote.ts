/**
 * A scheduler's estimate for a job if it took all of the job's tasks.
 */
export interface JobQuote {
  /** Time until each task ends, in task order, in milliseconds. */
  readonly endsMs: readonly number[];
  /** Maximum of `endsMs` at which the job is admitted, in milliseconds. */
  readonly limitMs: number;
  /** Maximum of `endsMs` at which a late job is useful, in milliseconds. */
  readonly latestMs: number;
}
