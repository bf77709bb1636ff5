import type {SlotDemand} from './slot_demand.js';

/** Part of the places that more urgent work keeps busy which stays free. */
const RESERVED_SHARE = 0.25;
/** Load from which places are kept; the usual load of a day lies below. */
const RESERVE_FROM_LOAD = 0.8;
/** Load at which all of them are kept: as much comes as can be done. */
const RESERVE_ALL_LOAD = 1;

/**
 * Free places that a task leaves to work that is more urgent than it.
 *
 * @description Load pattern: a burst of the least urgent kind, whose tasks run
 * long. Each takes a place as soon as one is free, and the next urgent job
 * finds none for as long as they run. Kept places cost capacity, so none are
 * kept while there is enough for all.
 * @param load - Load by work that is more urgent, and by all.
 * @returns A number of places; a fraction is usual.
 * @throws Never.
 * @example
 * keptPlaces({busyAbove: 8, busy: 26, room: 26}); // 2
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
