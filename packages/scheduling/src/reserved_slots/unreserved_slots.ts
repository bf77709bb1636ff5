/**
 * Slots that a job may count on while others are reserved.
 *
 * @description A free slot that placement keeps for more urgent work is no slot
 * for the job, so the ones that are free first are left out; one always stays.
 * @param slotFreeMs - Time until each slot is free, in milliseconds.
 * @param reserved - Number of reserved slots, usually a fraction.
 * @returns The other slots, those that are free first before the others.
 * @throws Never.
 * @example
 * unreservedSlots([40, 0, 0], 0.5); // [0, 40]
 */
export function unreservedSlots(
  slotFreeMs: readonly number[],
  reserved: number,
): number[] {
  const sorted = [...slotFreeMs].sort((a, b) => a - b);
  return sorted.slice(
    Math.min(Math.ceil(reserved), Math.max(0, sorted.length - 1)),
  );
}
