import type {Clock} from '@papayarun/protocol';

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly fire: () => void;
}

/**
 * Clock that stands still until a test moves it.
 */
export class VirtualClock implements Clock {
  private nowMs = 0;
  private order = 0;
  private readonly timers = new Set<Timer>();

  private constructor() {}

  /**
   * Makes a clock at zero.
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
        order: this.order++,
        fire: finish,
      };
      this.timers.add(timer);
      signal?.addEventListener('abort', finish);
    });
  }

  /**
   * Moves time on, firing timers in order and letting tasks run after each.
   *
   * @param ms - How far.
   * @returns When time has come there.
   */
  async advance(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    await settle();
    for (let timer = this.next(endMs); timer; timer = this.next(endMs)) {
      this.nowMs = timer.atMs;
      timer.fire();
      await settle();
    }
    this.nowMs = endMs;
  }

  private next(endMs: number): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      const isEarlier =
        !first ||
        timer.atMs < first.atMs ||
        (timer.atMs === first.atMs && timer.order < first.order);
      if (timer.atMs <= endMs && isEarlier) {
        first = timer;
      }
    }
    return first;
  }
}

/** Lets all promise reactions run. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
