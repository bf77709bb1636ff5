/**
 * What a scheduler expects of a job, were it to take all of its tasks.
 */
export interface JobQuote {
  /** Time until each task ends, in order, in milliseconds. */
  readonly endsMs: readonly number[];
  /** Time by which they have to end for the job to be taken, in ms. */
  readonly limitMs: number;
  /** Time by which they have to end to be of use, though late, in ms. */
  readonly latestMs: number;
}
