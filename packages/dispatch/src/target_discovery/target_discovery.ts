import type {Clock, ServiceId} from '@papayarun/protocol';

/**
 * Time in which this instance may not yet know the targets of its data centre.
 *
 * @description Targets announce themselves and other instances report theirs at
 * intervals. Until one such interval has passed, after a start or after a change
 * of the live instances, an instance that knows no target of a service cannot
 * tell whether there is none.
 */
export class TargetDiscovery {
  private openUntilMs: number;
  private readonly waiters = new Map<ServiceId, Set<() => void>>();

  private constructor(
    private readonly clock: Clock,
    private readonly periodMs: number,
  ) {
    this.openUntilMs = clock.now() + periodMs;
  }

  /**
   * Creates a discovery period that starts now.
   *
   * @param clock - Clock of the period.
   * @param periodMs - Length of the period, in milliseconds.
   * @returns The discovery period.
   * @example
   * const discovery = TargetDiscovery.create(clock, 3_000);
   */
  static create(clock: Clock, periodMs: number): TargetDiscovery {
    return new TargetDiscovery(clock, periodMs);
  }

  /** Number of pieces of work that wait for a target. */
  get waiting(): number {
    let count = 0;
    for (const waiters of this.waiters.values()) {
      count += waiters.size;
    }
    return count;
  }

  /** Starts the period again. */
  restart(): void {
    this.openUntilMs = this.clock.now() + this.periodMs;
  }

  /** Ends the waits for a target of a service, which is now known. */
  targetFound(service: ServiceId): void {
    const waiters = this.waiters.get(service);
    if (waiters) {
      this.waiters.delete(service);
      waiters.forEach(resolve => resolve());
    }
  }

  /**
   * Waits for a target of a service while the period lasts.
   *
   * @param service - The service.
   * @param maxWaitMs - Longest wait, in milliseconds.
   * @param signal - Ends the wait.
   * @returns True if a target was found, false if the wait ended without one.
   */
  async waitForTarget(
    service: ServiceId,
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const deadlineMs = this.clock.now() + maxWaitMs;
    const waiters = this.waiters.get(service) ?? new Set();
    this.waiters.set(service, waiters);
    const timer = new AbortController();
    let isFound = false;
    const resolve = (): void => {
      isFound = true;
      timer.abort();
    };
    const cancel = (): void => timer.abort();
    waiters.add(resolve);
    signal.addEventListener('abort', cancel, {once: true});
    // The period may be started again during the wait.
    while (!isFound && !signal.aborted) {
      const leftMs = Math.min(this.openUntilMs, deadlineMs) - this.clock.now();
      if (leftMs <= 0) {
        break;
      }
      await this.clock.sleep(leftMs, timer.signal);
    }
    signal.removeEventListener('abort', cancel);
    waiters.delete(resolve);
    if (waiters.size === 0 && this.waiters.get(service) === waiters) {
      this.waiters.delete(service);
    }
    return isFound;
  }
}
