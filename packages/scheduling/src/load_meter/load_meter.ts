/** Time constant of the moving average, in milliseconds. */
const AVERAGING_MS = 1_000;

/**
 * Offered load by priority, as an exponentially weighted moving average.
 */
export class LoadMeter {
  /** Work per unit of time, by priority, as of `atMs`. */
  private readonly rates = new Map<number, {rate: number; atMs: number}>();

  private constructor() {}

  /**
   * Creates a meter without load.
   *
   * @returns The meter.
   * @example
   * const meter = LoadMeter.create();
   */
  static create(): LoadMeter {
    return new LoadMeter();
  }

  /**
   * Adds a job that was admitted.
   *
   * @param priority - Priority of the job; 0 is the most urgent.
   * @param workMs - Sum of the expected run times of its tasks, in
   *   milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add(priority: number, workMs: number, nowMs: number): void {
    const before = this.rateOf(priority, nowMs);
    const rate = before + workMs / AVERAGING_MS;
    this.rates.set(priority, {rate, atMs: nowMs});
  }

  /**
   * Number of slots that work of more urgent priorities keeps busy on average.
   *
   * @param priority - Priority to compare with; itself not included.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The number of slots, usually a fraction.
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
