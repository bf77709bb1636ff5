import type {TargetHealth} from '../target_health/target_health.js';

/**
 * Requests that a target may run at a time, given its health.
 *
 * @param health - How it has done lately.
 * @param slots - Slots it announced.
 * @param tooManyEjected - Whether so many targets are ejected that the rest
 *   would drown; then ejected ones are tried one request at a time.
 * @returns Number of slots to use.
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
