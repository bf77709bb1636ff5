/** Kind of job in a replayed load. */
export interface LoadKind {
  readonly name: string;
  readonly priority: number;
  /** Mean number of tasks. */
  readonly width: number;
  /** Mean run time of a task on a usual target, in milliseconds. */
  readonly runMs: number;
  /** Jobs a second over all shards. */
  readonly ratePerS: number;
  /** Time for which callers wait, in milliseconds. */
  readonly leftMs: number;
  /** Rounds of a task's run time that its objective allows for; 1 if absent. */
  readonly rounds?: number;
  readonly cores: LoadSpread;
  /** Spread of the number of tasks; 0 if all jobs have as many. */
  readonly widthSigma: number;
  /** Spread of the run times of jobs. */
  readonly runSigma: number;
}

/**
 * Log-normal spread; `sigma` is the standard deviation of the logarithm.
 */
interface LoadSpread {
  readonly mean: number;
  readonly sigma: number;
  readonly max: number;
}
