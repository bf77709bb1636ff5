/**
 * Source of random numbers; a seeded one makes results reproducible.
 */
export interface RandomSource {
  /** Returns a uniformly distributed number in [0, 1). */
  next(): number;
}
