import type {Resources} from '../work/resources.js';

/**
 * Sum of two amounts of resources.
 *
 * @param a - One amount.
 * @param b - The other amount.
 * @param sign - 1 to add `b`, -1 to take it away.
 * @returns A new amount.
 * @throws Never.
 * @example
 * addResources(placed, needs, 1);
 */
export function addResources(
  a: Resources,
  b: Resources,
  sign: 1 | -1,
): Resources {
  return {
    cores: a.cores + sign * b.cores,
    memoryMb: a.memoryMb + sign * b.memoryMb,
    accelerators: a.accelerators + sign * b.accelerators,
  };
}
