import type {Clock} from '@papayarun/protocol';

/** A pending sleep. */
interface Timer {
  readonly atMs: number;
  /** Order of creation, in which timers of the same time fire. */
  readonly order: number;
  readonly fire: () => void;
}

/**
 * Clock whose time advances only when a test advances it.
 */
export class VirtualClock implements Clock {
  private nowMs = 0;
  private nextTimerOrder = 0;
  private readonly timers = new Set<Timer>();

  private constructor() {}

  /**
   * Creates a clock at time 0.
   *
   * @returns The clock.
   * @example
   * const clock = VirtualClock.create();
   * await clock.advance(1_000);
   */
  static create(): VirtualClock {
    return new VirtualClock();
  }

  now(): number {
    return this.nowMs;
  }

  wallNow(): number {
    return this.nowMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = (): void => {
        this.timers.delete(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer: Timer = {
        atMs: this.nowMs + Math.max(0, ms),
        order: this.nextTimerOrder++,
        fire: finish,
      };
      this.timers.add(timer);
      signal?.addEventListener('abort', finish);
    });
  }

  /**
   * Advances the time; fires due timers in order and runs the pending promise
   * reactions after each.
   *
   * @param ms - Duration in milliseconds.
   * @returns Resolves when the new time is reached.
   */
  async advance(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    await flushPromises();
    for (
      let timer = this.nextDueTimer(endMs);
      timer;
      timer = this.nextDueTimer(endMs)
    ) {
      this.nowMs = timer.atMs;
      timer.fire();
      await flushPromises();
    }
    this.nowMs = endMs;
  }

  private nextDueTimer(endMs: number): Timer | undefined {
    let earliest: Timer | undefined;
    for (const timer of this.timers) {
      const isEarlier =
        !earliest ||
        timer.atMs < earliest.atMs ||
        (timer.atMs === earliest.atMs && timer.order < earliest.order);
      if (timer.atMs <= endMs && isEarlier) {
        earliest = timer;
      }
    }
    return earliest;
  }
}

/** Resolves after all pending promise reactions have run. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
