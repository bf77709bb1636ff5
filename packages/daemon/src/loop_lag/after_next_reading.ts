import type {Clock} from '@papayarun/protocol';
import {afterReading} from './after_reading.js';

/**
 * Waits until the event loop has read, on all open connections, what had arrived
 * when this was called.
 *
 * @description While the loop reads, it may have passed a connection already, and
 * it reads the end of a connection a turn later than the data before it. So the
 * rest of the current turn and a whole one are awaited.
 * @param clock - Monotonic clock.
 * @returns Monotonic time up to which all has been read, in milliseconds; long ago
 *   if the process was paused between the reading and its return.
 * @throws Never.
 * @example
 * const readUpToMs = await afterNextReading(clock);
 */
export async function afterNextReading(
  clock: Pick<Clock, 'now'>,
): Promise<number> {
  await afterReading();
  const readUpToMs = clock.now();
  await afterReading();
  return readUpToMs;
}
