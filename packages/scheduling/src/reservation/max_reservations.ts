import type {PlacementPolicy} from './placement_policy.js';

/**
 * Most targets that are reserved in one round of placement. With one, jobs of
 * several large tasks get them one after the other.
 */
const MAX_RESERVATIONS = 4;

/**
 * Number of targets that may be reserved for tasks that find no room.
 *
 * @param policy - Policy; undefined for the default.
 * @returns The number in one round of placement.
 * @throws Never.
 * @example
 * maxReservations({kind: 'reserving'}); // 4
 */
export function maxReservations(policy: PlacementPolicy | undefined): number {
  const kind = policy?.kind ?? 'firstFit';
  switch (kind) {
    case 'firstFit':
      return 0;
    case 'reserving':
      return MAX_RESERVATIONS;
    default:
      return kind satisfies never;
  }
}
