import type {Clock} from '@papayarun/protocol';

/** Reason of the aborts here; without one, each abort would create an error. */
const WOKEN = 'woken';

/**
 * Sleep of one loop that other code can end.
 *
 * @description Waking costs nothing while the loop doesn't sleep, so it can be
 * done at each change that the loop may have to act on.
 */
export class Sleeper {
  private controller: AbortController | undefined;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a sleeper for one loop.
   *
   * @param clock - Clock that counts the time.
   * @returns The sleeper.
   * @example
   * const sleeper = Sleeper.create(clock);
   * await sleeper.sleep(200);
   */
  static create(clock: Clock): Sleeper {
    return new Sleeper(clock);
  }

  /**
   * Sleeps until `wake` is called, or for a time at most.
   *
   * @param ms - Longest sleep in milliseconds; no bound by default.
   * @returns Resolves when the sleep ends.
   */
  async sleep(ms?: number): Promise<void> {
    const controller = new AbortController();
    this.controller = controller;
    if (ms === undefined) {
      await new Promise<void>(resolve =>
        controller.signal.addEventListener('abort', () => resolve()),
      );
    } else {
      await this.clock.sleep(ms, controller.signal);
    }
    if (this.controller === controller) {
      this.controller = undefined;
    }
  }

  /** Ends the sleep, if the loop is asleep. */
  wake(): void {
    this.controller?.abort(WOKEN);
    this.controller = undefined;
  }
}
