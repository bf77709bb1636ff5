import type {Resources} from '@papayarun/protocol';
import {addResources, fitsIn} from '@papayarun/protocol';
import type {Place} from './place.js';
import type {Reservation} from './reservation.js';

/**
 * Finds the target on which a task fits earliest.
 *
 * @description Load pattern: small tasks take each gap as soon as it opens, and a
 * task that needs two gaps on one target at once waits for as long as they come.
 * Among targets on which it fits at the same time, the one with the least left
 * beside it is taken.
 * @param needs - Resources that the task needs.
 * @param places - Targets that may run it.
 * @returns The target and the reservation; undefined if it fits on none.
 * @throws Never.
 * @example
 * earliestPlace(needs, candidates)?.reservation.atMs; // 40
 */
export function earliestPlace<T extends Place>(
  needs: Resources,
  places: readonly T[],
): {readonly place: T; readonly reservation: Reservation} | undefined {
  let best: {place: T; reservation: Reservation} | undefined;
  for (const place of places) {
    const reservation = reservationOn(place, needs);
    if (
      reservation &&
      (!best ||
        reservation.atMs < best.reservation.atMs ||
        (reservation.atMs === best.reservation.atMs &&
          reservation.spare.cores < best.reservation.spare.cores))
    ) {
      best = {place, reservation};
    }
  }
  return best;
}

function reservationOn(
  {free, ends}: Place,
  needs: Resources,
): Reservation | undefined {
  let room = free;
  let atMs = 0;
  for (const end of ends) {
    if (fitsIn(needs, room)) {
      break;
    }
    room = addResources(room, end.freed, 1);
    atMs = end.atMs;
  }
  return fitsIn(needs, room)
    ? {atMs, spare: addResources(room, needs, -1)}
    : undefined;
}
