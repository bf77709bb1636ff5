const BUCKETS = 20;
const BUCKET_MS = 100;
const MS_PER_SECOND = 1_000;

/**
 * Rate of events over the last two seconds.
 */
export class RateMeter {
  private readonly counts = new Array<number>(BUCKETS).fill(0);
  private newestBucket = 0;

  private constructor() {}

  /**
   * Creates a meter without events.
   *
   * @returns The meter.
   * @example
   * const meter = RateMeter.create();
   */
  static create(): RateMeter {
    return new RateMeter();
  }

  /** Counts an event at a monotonic time in milliseconds. */
  record(nowMs: number): void {
    this.advanceTo(nowMs);
    this.counts[this.newestBucket % BUCKETS]!++;
  }

  /** Events per second over the last two seconds, the current bucket included. */
  perSecond(nowMs: number): number {
    this.advanceTo(nowMs);
    const total = this.counts.reduce((sum, n) => sum + n, 0);
    return (total * MS_PER_SECOND) / (BUCKETS * BUCKET_MS);
  }

  private advanceTo(nowMs: number): void {
    const bucket = Math.floor(nowMs / BUCKET_MS);
    const firstToClear = Math.max(this.newestBucket + 1, bucket - BUCKETS + 1);
    for (let i = firstToClear; i <= bucket; i++) {
      this.counts[i % BUCKETS] = 0;
    }
    this.newestBucket = Math.max(this.newestBucket, bucket);
  }
}
