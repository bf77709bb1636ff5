import type {Resources} from '../work/resources.js';

/**
 * Whether needs fit into what is free.
 *
 * @param needs - Amounts needed.
 * @param free - Amounts free.
 * @returns True when each amount fits.
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
