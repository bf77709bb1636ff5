const POLL_MS = 25;

/**
 * Waits until a condition holds.
 *
 * @param what - Named in the error.
 * @param timeoutMs - Longest wait in milliseconds.
 * @param condition - Tested every 25 ms; a throw counts as false.
 * @returns When it holds.
 * @throws Error when it doesn't hold in time.
 * @example
 * await waitUntil('it is ready', 5_000, () => isReady);
 */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  let last: unknown;
  while (performance.now() < endMs) {
    try {
      if (await condition()) {
        return;
      }
    } catch (err) {
      last = err;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(
    `not in ${timeoutMs} ms: ${what}${last ? ` (${String(last)})` : ''}`,
  );
}
