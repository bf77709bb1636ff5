/** Time over which arrivals are averaged, in milliseconds. */
const AVERAGING_MS = 1_000;

/**
 * Work that arrives, by priority, as an exponentially weighted rate.
 */
export class LoadMeter {
  private readonly rates = new Map<number, {rate: number; atMs: number}>();

  private constructor() {}

  /**
   * Makes a meter that has seen nothing.
   *
   * @returns The meter.
   * @example
   * const meter = LoadMeter.create();
   */
  static create(): LoadMeter {
    return new LoadMeter();
  }

  /**
   * Takes note of work that was admitted.
   *
   * @param priority - Its priority.
   * @param workMs - Sum of its tasks' run times, in milliseconds.
   * @param nowMs - Monotonic time.
   */
  add(priority: number, workMs: number, nowMs: number): void {
    const before = this.rateOf(priority, nowMs);
    const rate = before + workMs / AVERAGING_MS;
    this.rates.set(priority, {rate, atMs: nowMs});
  }

  /**
   * Places that work of more urgent priorities keeps busy on average.
   *
   * @param priority - Priority to compare with.
   * @param nowMs - Monotonic time.
   * @returns Number of places; a fraction is usual.
   */
  loadAbove(priority: number, nowMs: number): number {
    let load = 0;
    for (const other of this.rates.keys()) {
      load += other < priority ? this.rateOf(other, nowMs) : 0;
    }
    return load;
  }

  private rateOf(priority: number, nowMs: number): number {
    const entry = this.rates.get(priority);
    return entry
      ? entry.rate * Math.exp((entry.atMs - nowMs) / AVERAGING_MS)
      : 0;
  }
}
