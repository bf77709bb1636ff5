import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {RandomSource} from './random_source.js';

const INTEGER_RANGE = 2 ** 31;

/**
 * Pseudorandom number generator with reproducible output for a seed.
 */
export class SeededRandom implements RandomSource {
  private constructor(private readonly generator: RandomGenerator) {}

  /**
   * Creates a generator.
   *
   * @param seed - Any 32-bit integer.
   * @returns The generator.
   * @example
   * SeededRandom.create(7).next();
   */
  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  next(): number {
    return uniformInt(this.generator, 0, INTEGER_RANGE - 1) / INTEGER_RANGE;
  }
}
