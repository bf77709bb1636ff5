import type {Clock} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {ControlClient} from '../control_client/control_client.js';

const PERIOD_MS = 100;

/**
 * What the wait for the release in force needs.
 */
export interface ReleaseWaitOptions {
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly store: ControlStore;
  /** Time without a leader after which the highest known release is taken. */
  readonly cutOffMs: number;
  /** Aborts when the instance ends. */
  readonly ending: AbortSignal;
}

/**
 * Waits until a starting instance knows the release in force.
 *
 * @description That is, all that a majority had accepted before; or, cut off
 * from every leader, the highest that it or its data centre knows.
 * @param opts - Way to the release log, store and times.
 * @returns Whether the release is confirmed by a majority, or undefined when
 *   the instance ended first.
 * @throws Never.
 * @example
 * const isConfirmed = await waitForRelease(opts);
 */
export async function waitForRelease(
  opts: ReleaseWaitOptions,
): Promise<boolean | undefined> {
  const {clock, control, store, ending} = opts;
  const startedMs = clock.now();
  while (!ending.aborted) {
    const index = await control.readIndex();
    if (index !== undefined && index > 0 && store.index >= index) {
      return true;
    }
    const isLate = clock.now() - startedMs > opts.cutOffMs;
    if (index === undefined && store.index > 0 && isLate) {
      return false;
    }
    await clock.sleep(PERIOD_MS, ending);
  }
  return undefined;
}
