import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {RandomSource} from './random_source.js';

const RANGE = 2 ** 31;

/**
 * Repeatable random numbers from a seed.
 */
export class SeededRandom implements RandomSource {
  private constructor(private readonly generator: RandomGenerator) {}

  /**
   * Makes a source.
   *
   * @param seed - Any 32-bit integer.
   * @returns The source.
   * @example
   * SeededRandom.create(7).next();
   */
  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  next(): number {
    return uniformInt(this.generator, 0, RANGE - 1) / RANGE;
  }
}
