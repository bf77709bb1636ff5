import type {Clock} from './clock.js';

/**
 * Clock of the operating system.
 */
export class SystemClock implements Clock {
  private constructor() {}

  /**
   * Creates the clock.
   *
   * @returns The clock.
   * @example
   * const clock = SystemClock.create();
   */
  static create(): SystemClock {
    return new SystemClock();
  }

  now(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener('abort', finish);
    });
  }
}
