import type {Resources} from '@papayarun/protocol';

/**
 * What a worker has left.
 *
 * @description Reports lag behind placements and ends, so the larger of what
 * was reported and what was placed counts as used.
 * @param total - All it has.
 * @param used - Usage as last reported.
 * @param placed - Needs of tasks placed there and not ended.
 * @returns What is left; may be negative.
 * @throws Never.
 * @example
 * freeResources(worker.total, worker.used, record.placed);
 */
export function freeResources(
  total: Resources,
  used: Resources,
  placed: Resources,
): Resources {
  return {
    cores: total.cores - Math.max(used.cores, placed.cores),
    memoryMb: total.memoryMb - Math.max(used.memoryMb, placed.memoryMb),
    accelerators:
      total.accelerators - Math.max(used.accelerators, placed.accelerators),
  };
}
