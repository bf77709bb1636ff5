/**
 * Source of time that tests can replace with a controlled one.
 */
export interface Clock {
  /** Returns the monotonic time in milliseconds. */
  now(): number;
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  wallNow(): number;
  /** Resolves after `ms` milliseconds, or immediately when `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}
