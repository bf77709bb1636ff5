import type {Resources} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';
import type {Reservation} from './reservation.js';

/**
 * Whether a task may run on a target that a more urgent one has reserved.
 *
 * @param reservation - The reservation; undefined if there is none.
 * @param needs - Resources that the task needs.
 * @param runMs - Expected run time of the task on the target, in milliseconds.
 * @returns True if it ends before the reservation begins or fits beside it.
 * @throws Never.
 * @example
 * mayBackfill({atMs: 40, spare}, needs, 30); // true
 */
export function mayBackfill(
  reservation: Reservation | undefined,
  needs: Resources,
  runMs: number,
): boolean {
  return (
    reservation === undefined ||
    runMs <= reservation.atMs ||
    fitsIn(needs, reservation.spare)
  );
}
