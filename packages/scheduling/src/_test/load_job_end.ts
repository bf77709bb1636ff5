/** Job of a replayed load, and how it ended. */
export interface LoadJobEnd {
  readonly kind: string;
  readonly atMs: number;
  readonly objectiveMs: number;
  readonly leftMs: number;
  readonly cores: number;
  /** Sum of the run times of its tasks on a usual target, in milliseconds. */
  readonly workMs: number;
  /** Time until its answer, in milliseconds; undefined if it has none. */
  readonly tookMs: number | undefined;
}
