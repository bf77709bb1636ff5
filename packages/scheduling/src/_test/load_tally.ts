/** Counts of how the jobs of a kind ended. */
export interface LoadTally {
  submitted: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Jobs refused after more than a quarter of their objective. */
  refusedLate: number;
  largeSubmitted: number;
  largeInTime: number;
}
