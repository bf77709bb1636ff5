/**
 * Checks a received time span.
 *
 * @param value - Decoded value.
 * @returns The time span in milliseconds; undefined if there is none.
 * @throws Error if it is no time span.
 * @example
 * checkDuration(1_070); // 1_070
 */
export function checkDuration(value: unknown): number | undefined {
  if (value === undefined || value === null) {
    return undefined;
  }
  if (!Number.isFinite(value) || (value as number) < 0) {
    throw new Error('expected a time');
  }
  return value as number;
}
