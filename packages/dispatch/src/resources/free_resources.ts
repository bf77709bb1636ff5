import type {Resources} from '@papayarun/protocol';

/**
 * Free resources of a worker.
 *
 * @description Reported usage lags behind the start and end of tasks, so the
 * larger of the reported and the placed amount counts as used.
 * @param total - Total resources of the worker.
 * @param used - Usage as last reported by the worker.
 * @param placed - Needs of the tasks placed on the worker that have not ended.
 * @returns Free resources; amounts may be negative.
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
