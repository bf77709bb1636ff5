import type {SlotDemand} from './slot_demand.js';

/**
 * Slots that are reserved, as a share of those that more urgent work keeps
 * busy.
 */
const RESERVED_SHARE = 0.25;
/**
 * Load from which slots are reserved, as a share of all slots; the usual load
 * of a day is lower.
 */
const RESERVE_FROM_LOAD = 0.8;
/**
 * Load at which the full reserve is kept, as a share of all slots: as much work
 * arrives as can be done.
 */
const RESERVE_ALL_LOAD = 1;

/**
 * Number of free slots that a task has to leave to more urgent work.
 *
 * @description In a burst of the least urgent kind, whose tasks run long, each
 * task takes a slot as soon as one is free, and the next urgent job finds none
 * for as long as they run. Reserved slots cost capacity, so none are reserved
 * while there are enough for all work.
 * @param demand - Slots that more urgent work and all work keep busy.
 * @returns The number of reserved slots, usually a fraction.
 * @throws Never.
 * @example
 * reservedSlots({urgentSlots: 8, busySlots: 26, totalSlots: 26}); // 2
 */
export function reservedSlots({
  urgentSlots,
  busySlots,
  totalSlots,
}: SlotDemand): number {
  const fraction =
    (busySlots / Math.max(1, totalSlots) - RESERVE_FROM_LOAD) /
    (RESERVE_ALL_LOAD - RESERVE_FROM_LOAD);
  return RESERVED_SHARE * urgentSlots * Math.min(1, Math.max(0, fraction));
}
