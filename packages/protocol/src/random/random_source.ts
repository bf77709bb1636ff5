/**
 * Source of random numbers, seeded where results must repeat.
 */
export interface RandomSource {
  /** Uniform number in [0, 1). */
  next(): number;
}
