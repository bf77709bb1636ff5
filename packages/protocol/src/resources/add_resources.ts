import type {Resources} from '../work/resources.js';

/**
 * Adds or subtracts two amounts of resources.
 *
 * @param a - First amount.
 * @param b - Second amount.
 * @param sign - 1 to add `b`, -1 to subtract it.
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
