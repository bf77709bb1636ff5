/** Interval between two checks of the condition. */
const POLL_INTERVAL_MS = 25;

/**
 * Waits until a condition holds.
 *
 * @param description - Condition in words, for the error message.
 * @param timeoutMs - Maximum wait in milliseconds.
 * @param condition - Checked every 25 ms; an exception counts as false.
 * @returns Resolves when the condition holds.
 * @throws Error when the condition does not hold within the timeout.
 * @example
 * await waitUntil('it is ready', 5_000, () => isReady);
 */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < deadlineMs) {
    try {
      if (await condition()) {
        return;
      }
    } catch (err) {
      lastError = err;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(
    `timed out after ${timeoutMs} ms waiting until ${description}${lastError ? ` (last error: ${String(lastError)})` : ''}`,
  );
}
