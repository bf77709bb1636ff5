/** Shortest interval, so that jobs of one moment share a notice. */
const MIN_INTERVAL_MS = 5;
/**
 * Interval for each entry instance, in milliseconds, so that all of them send no
 * more than a thousand notices a second.
 */
const INTERVAL_PER_ENTRY_MS = 1;

/**
 * Interval in the long run at which an instance takes notices of jobs in flight
 * from each of the entry instances that name them to it.
 *
 * @param entries - Number of these entry instances.
 * @returns The interval in milliseconds.
 * @throws Never.
 * @example
 * inFlightIntervalMs(6); // 6
 */
export function inFlightIntervalMs(entries: number): number {
  return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_ENTRY_MS * entries);
}
