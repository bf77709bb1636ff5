import type {Clock} from '@papayarun/protocol';
import type {RoundBatcherOptions} from './round_batcher_options.js';

/**
 * Sends items in rounds, one at a time; what is added during a round goes into the
 * next one, so that the number of messages doesn't grow with that of the items.
 */
export class RoundBatcher<T, R> {
  private items: T[] = [];
  private next: Promise<R> | undefined;
  private latest: Promise<unknown> = Promise.resolve();
  private latestStartMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly opts: RoundBatcherOptions<T, R>,
  ) {}

  /**
   * Creates a batcher.
   *
   * @param clock - Clock of the delays.
   * @param opts - Delays, and what sends a round.
   * @returns The batcher.
   * @example
   * const rounds = RoundBatcher.create(clock, {delayMs: 2,
   *   intervalMs: () => 50, send: jobs => cancelAtAll(jobs)});
   */
  static create<T, R>(
    clock: Clock,
    opts: RoundBatcherOptions<T, R>,
  ): RoundBatcher<T, R> {
    return new RoundBatcher(clock, opts);
  }

  /** Number of items that wait for the next round. */
  get waiting(): number {
    return this.items.length;
  }

  /**
   * Adds items to the next round.
   *
   * @param items - The items.
   * @returns The result of the round.
   */
  add(items: readonly T[]): Promise<R> {
    this.items.push(...items);
    this.next ??= this.runNext();
    return this.next;
  }

  private async runNext(): Promise<R> {
    await this.latest.catch(() => undefined);
    const {clock} = this;
    const {delayMs, intervalMs, send} = this.opts;
    const dueMs = this.latestStartMs + intervalMs();
    await clock.sleep(Math.max(delayMs, dueMs - clock.now()));
    const {items} = this;
    this.items = [];
    this.next = undefined;
    this.latestStartMs = clock.now();
    const round = send(items);
    this.latest = round;
    return round;
  }
}
