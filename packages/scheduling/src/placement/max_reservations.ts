import type {Placement} from './placement.js';

/**
 * Most targets that are reserved in one round of placement. With one, jobs of
 * several large tasks get them one after the other.
 */
const MAX_RESERVATIONS = 4;

/**
 * Number of targets that may be reserved for tasks that find no room.
 *
 * @param placement - Way of placement; undefined for the default.
 * @returns The number in one round of placement.
 * @throws Never.
 * @example
 * maxReservations({kind: 'reserving'}); // 4
 */
export function maxReservations(placement: Placement | undefined): number {
  const kind = placement?.kind ?? 'firstFit';
  switch (kind) {
    case 'firstFit':
      return 0;
    case 'reserving':
      return MAX_RESERVATIONS;
    default:
      return kind satisfies never;
  }
}
