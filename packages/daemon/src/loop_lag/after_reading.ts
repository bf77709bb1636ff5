/**
 * Waits until the event loop has read what has arrived on the connections.
 *
 * @description Timers that are due run before the reading, so what a timer knows
 * of peers is out of date after a pause of the process.
 * @returns Resolves in the phase of the event loop that follows the reading.
 * @throws Never.
 * @example
 * await clock.sleep(100);
 * await afterReading();
 */
export function afterReading(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
