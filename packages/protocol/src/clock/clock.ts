/**
 * Source of time, so that tests can drive it.
 */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Wall time in milliseconds since the Unix epoch. */
  wallNow(): number;
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}
