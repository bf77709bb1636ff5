import type {TargetHealth} from '../target_health/target_health.js';

/**
 * Number of requests that a target may run at the same time, given its health.
 *
 * @param health - Health of the target.
 * @param slots - Slots that the target announced.
 * @param tooManyEjected - Whether so many targets are ejected that the others
 *   would be overloaded; ejected ones then get one request at a time.
 * @returns Number of slots that may be used.
 * @throws Never.
 * @example
 * allowedSlots(HEALTHY, 8, false); // 8
 */
export function allowedSlots(
  health: TargetHealth,
  slots: number,
  tooManyEjected: boolean,
): number {
  switch (health.kind) {
    case 'healthy':
      return slots;
    case 'probation':
      return Math.min(1, slots);
    case 'ejected':
      return tooManyEjected ? Math.min(1, slots) : 0;
    default:
      return health satisfies never;
  }
}
