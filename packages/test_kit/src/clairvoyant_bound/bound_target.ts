/**
 * Target as input for the bound of a schedule.
 */
export interface BoundTarget {
  readonly cores: number;
  /** Factor of the run times on it over those on a usual target. */
  readonly slowness: number;
}
