import type {Clock} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {ControlClient} from '../control_client/control_client.js';

/** Interval between two reads of the release log's index, in milliseconds. */
const POLL_PERIOD_MS = 100;

/**
 * Options of `waitForRelease`.
 */
export interface WaitForReleaseOptions {
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly store: ControlStore;
  /**
   * Time in milliseconds, from the start of the wait, after which the highest
   * known release is used if no leader can be reached.
   */
  readonly fallbackAfterMs: number;
  /** Aborted when the instance shuts down. */
  readonly stopSignal: AbortSignal;
}

/**
 * Waits until a starting instance has the release in force.
 *
 * @description The wait ends when the store has applied the release log up to
 * the read index of the leader, so that it includes every release that a
 * majority accepted before the start. If no leader can be reached for
 * `fallbackAfterMs`, the wait ends with the highest release that this instance
 * or its data centre has.
 * @param opts - Client of the release log, store, clock and timeout.
 * @returns True if a majority confirmed the release, false if the wait ended
 *   without a leader, undefined if the instance shut down first.
 * @throws Never.
 * @example
 * const isConfirmed = await waitForRelease(opts);
 */
export async function waitForRelease(
  opts: WaitForReleaseOptions,
): Promise<boolean | undefined> {
  const {clock, control, store, stopSignal} = opts;
  const startedMs = clock.now();
  while (!stopSignal.aborted) {
    const index = await control.readIndex();
    if (index !== undefined && index > 0 && store.index >= index) {
      return true;
    }
    const hasTimedOut = clock.now() - startedMs > opts.fallbackAfterMs;
    if (index === undefined && store.index > 0 && hasTimedOut) {
      return false;
    }
    await clock.sleep(POLL_PERIOD_MS, stopSignal);
  }
  return undefined;
}
