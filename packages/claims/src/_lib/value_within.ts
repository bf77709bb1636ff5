import type {Clock} from '@papayarun/protocol';

/** Abort reason that ends the timer of a wait that is over. */
const CANCEL_TIMER_REASON = 'done';

/**
 * Waits for a value for a limited time.
 *
 * @param clock - Clock of the wait.
 * @param value - The value.
 * @param waitMs - Longest wait, in milliseconds.
 * @returns The value, or undefined if it didn't arrive in time.
 */
export async function valueWithin<T>(
  clock: Clock,
  value: Promise<T>,
  waitMs: number,
): Promise<T | undefined> {
  const timer = new AbortController();
  const timeout = clock
    .sleep(Math.max(0, waitMs), timer.signal)
    .then(() => undefined);
  const early = await Promise.race([value, timeout]);
  timer.abort(CANCEL_TIMER_REASON);
  return early;
}
