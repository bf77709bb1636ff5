import type {Resources} from '../work/resources.js';

/**
 * Checks whether the needed resources fit into the free ones.
 *
 * @param needs - Needed resources.
 * @param free - Free resources.
 * @returns True when every amount fits.
 * @throws Never.
 * @example
 * fitsIn({cores: 1, memoryMb: 512, accelerators: 0}, free);
 */
export function fitsIn(needs: Resources, free: Resources): boolean {
  return (
    needs.cores <= free.cores &&
    needs.memoryMb <= free.memoryMb &&
    needs.accelerators <= free.accelerators
  );
}
