import {afterReading} from './after_reading.js';

/**
 * Waits until the event loop has read, on all open connections, what had arrived
 * when this was called.
 *
 * @description While the loop reads, it may have passed a connection already, and
 * it reads the end of a connection a turn later than the data before it. So the
 * rest of the current turn and a whole one are awaited.
 * @returns Resolves in the phase of the event loop that follows the reading.
 * @throws Never.
 * @example
 * await afterNextReading();
 * const hasLeft = req.signal.aborted;
 */
export async function afterNextReading(): Promise<void> {
  await afterReading();
  await afterReading();
}
