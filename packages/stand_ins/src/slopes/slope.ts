/**
 * Least-squares line through measured points.
 */
export interface Slope {
  /** Slope: change of y per unit of x. */
  readonly perUnit: number;
  /** Intercept: y at x = 0. */
  readonly base: number;
  /** Coefficient of determination. */
  readonly r2: number;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}
