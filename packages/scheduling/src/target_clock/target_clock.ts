/** Share by which a target's clock may run slow; PROTOCOL of the targets. */
const MAX_CLOCK_DRIFT = 0.02;

/**
 * Estimate of a target's clock from the readings in its answers.
 */
export class TargetClock {
  private lastReadingMs: number | undefined;
  private readAtMs = 0;

  private constructor() {}

  /**
   * Makes an estimate without a reading.
   *
   * @returns The estimate.
   * @example
   * const clock = TargetClock.create();
   */
  static create(): TargetClock {
    return new TargetClock();
  }

  /**
   * Takes a reading; one that is older than the present one changes nothing.
   *
   * @param targetMs - The target's clock in an answer.
   * @param nowMs - Own monotonic time of the answer.
   */
  addReading(targetMs: number, nowMs: number): void {
    if (this.lastReadingMs === undefined || targetMs >= this.lastReadingMs) {
      this.lastReadingMs = targetMs;
      this.readAtMs = nowMs;
    }
  }

  get isKnown(): boolean {
    return this.lastReadingMs !== undefined;
  }

  /**
   * The target's time, as far as the last reading tells.
   *
   * @param nowMs - Own monotonic time.
   * @returns Milliseconds on the target's clock; 0 without a reading.
   */
  at(nowMs: number): number {
    return this.lastReadingMs === undefined
      ? 0
      : Math.ceil(this.lastReadingMs + nowMs - this.readAtMs);
  }

  /**
   * Own time by which the target's clock certainly shows a time.
   *
   * @param targetMs - Time on the target's clock.
   * @returns Own monotonic time in milliseconds.
   */
  latestLocalTimeOf(targetMs: number): number {
    const aheadMs = targetMs - (this.lastReadingMs ?? 0);
    return this.readAtMs + Math.max(0, aheadMs) / (1 - MAX_CLOCK_DRIFT);
  }
}
