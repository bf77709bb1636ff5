const BUCKETS = 20;
const BUCKET_MS = 100;
const MS_PER_SECOND = 1_000;

/**
 * Rate of events over the last two seconds.
 */
export class RateMeter {
  private readonly counts = new Array<number>(BUCKETS).fill(0);
  private newest = 0;

  private constructor() {}

  /**
   * Makes a meter that has seen nothing.
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
    this.moveTo(nowMs);
    this.counts[this.newest % BUCKETS]!++;
  }

  /** Events a second over the last buckets, the present one too. */
  perSecond(nowMs: number): number {
    this.moveTo(nowMs);
    const total = this.counts.reduce((sum, n) => sum + n, 0);
    return (total * MS_PER_SECOND) / (BUCKETS * BUCKET_MS);
  }

  private moveTo(nowMs: number): void {
    const bucket = Math.floor(nowMs / BUCKET_MS);
    const from = Math.max(this.newest + 1, bucket - BUCKETS + 1);
    for (let i = from; i <= bucket; i++) {
      this.counts[i % BUCKETS] = 0;
    }
    this.newest = Math.max(this.newest, bucket);
  }
}
