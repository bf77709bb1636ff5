import {addResources} from '@papayarun/protocol';
import type {Resources} from '@papayarun/protocol';
import type {Reservation} from './reservation.js';

/**
 * Reservation of a target on which another task begins now.
 *
 * @param reservation - Reservation before; undefined if there is none.
 * @param needs - Resources that the other task needs.
 * @param runMs - Expected run time of the other task there, in milliseconds.
 * @returns The reservation with less beside it if the other task still runs then.
 * @throws Never.
 * @example
 * spareAfter({atMs: 40, spare}, needs, 900);
 */
export function spareAfter(
  reservation: Reservation | undefined,
  needs: Resources,
  runMs: number,
): Reservation | undefined {
  return reservation === undefined || runMs <= reservation.atMs
    ? reservation
    : {...reservation, spare: addResources(reservation.spare, needs, -1)};
}
