import type {Clock} from '@papayarun/protocol';
import type {NoticeBatcherOptions} from './notice_batcher_options.js';

/**
 * Collects items for notices of many items, and limits how many are sent.
 *
 * @description A notice leaves after a short delay, for all items of one moment.
 * After a burst of notices the delay grows to the interval, so that the number of
 * notices doesn't grow with that of the items.
 */
export class NoticeBatcher<T> {
  private items: T[] = [];
  private isDue = false;
  /** Monotonic time up to which notices have used the allowed rate. */
  private usedUntilMs = -Infinity;
  private sentCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly opts: NoticeBatcherOptions<T>,
  ) {}

  /**
   * Creates a batcher.
   *
   * @param clock - Clock of the delays.
   * @param opts - Delay, rate, and what sends a notice.
   * @returns The batcher.
   * @example
   * const batcher = NoticeBatcher.create(clock, {delayMs: 1,
   *   intervalMs: () => 50,
   *   burst: 10, maxItems: 256, send: jobs => notifyAll(jobs)});
   */
  static create<T>(
    clock: Clock,
    opts: NoticeBatcherOptions<T>,
  ): NoticeBatcher<T> {
    return new NoticeBatcher(clock, opts);
  }

  /** Adds items to the next notice; the oldest are dropped if it is full. */
  add(items: Iterable<T>): void {
    for (const item of items) {
      this.items.push(item);
    }
    const excess = this.items.length - this.opts.maxItems;
    if (excess > 0) {
      const dropped = this.items.splice(0, excess);
      this.opts.onDropped?.(dropped);
    }
    if (this.items.length > 0) {
      this.request();
    }
  }

  /** Has a notice sent, also without items. */
  request(): void {
    if (!this.isDue) {
      this.isDue = true;
      void this.sendLater(this.sentCount);
    }
  }

  /** Sends the next notice now, if one is due and the rate allows it. */
  flush(): void {
    const intervalMs = this.opts.intervalMs();
    if (this.isDue && this.allowedMs(intervalMs) <= this.clock.now()) {
      this.send(intervalMs);
    }
  }

  private async sendLater(sentCount: number): Promise<void> {
    const {delayMs} = this.opts;
    const intervalMs = this.opts.intervalMs();
    const allowedInMs = this.allowedMs(intervalMs) - this.clock.now();
    await this.clock.sleep(Math.max(delayMs, allowedInMs));
    if (sentCount === this.sentCount) {
      this.send(intervalMs);
    }
  }

  /** Monotonic time from which the rate allows a notice, in milliseconds. */
  private allowedMs(intervalMs: number): number {
    return this.usedUntilMs - (this.opts.burst - 1) * intervalMs;
  }

  private send(intervalMs: number): void {
    this.usedUntilMs =
      Math.max(this.usedUntilMs, this.clock.now()) + intervalMs;
    const {items} = this;
    this.items = [];
    this.isDue = false;
    this.sentCount++;
    this.opts.send(items);
  }
}
