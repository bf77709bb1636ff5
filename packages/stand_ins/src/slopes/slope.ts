/**
 * Least-squares line through measured points.
 */
export interface Slope {
  /** Change of y for one more x. */
  readonly perUnit: number;
  /** y at x = 0. */
  readonly base: number;
  /** Coefficient of determination. */
  readonly r2: number;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}
