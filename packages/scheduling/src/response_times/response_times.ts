/** Weight of a new sample in the smoothed response time. */
const MEAN_WEIGHT = 1 / 8;
/** Weight of a new sample in the mean deviation. */
const DEVIATION_WEIGHT = 1 / 4;
/** Number of mean deviations by which a timeout exceeds the mean. */
const DEVIATIONS = 4;
/**
 * Least share of the mean by which a timeout exceeds it. The deviation of answers that
 * come together is less than the 1 to 5 ms that an event loop without processor time
 * is late.
 */
const MIN_MARGIN_SHARE = 0.25;
/** Longest timeout, in milliseconds. */
const MAX_TIMEOUT_MS = 250;

/**
 * Response times of orders, and the timeout that follows from them.
 *
 * @description The estimator of RFC 6298 (Jacobson and Karels, 1988), with a margin in
 * proportion to the mean in place of the granularity of the clock. Answers
 * that come after their timeout count too: if the link is full or the event loop
 * late, all answers come late, and a fixed timeout would take every target for a
 * silent one.
 */
export class ResponseTimes {
  private meanMs: number | undefined;
  private deviationMs = 0;

  private constructor(private readonly minTimeoutMs: number) {}

  /**
   * Creates an estimator without samples.
   *
   * @param minTimeoutMs - Shortest timeout, in milliseconds.
   * @returns The estimator.
   * @example
   * const times = ResponseTimes.create(40);
   */
  static create(minTimeoutMs: number): ResponseTimes {
    return new ResponseTimes(minTimeoutMs);
  }

  /** Timeout of the next order, in milliseconds. */
  get timeoutMs(): number {
    const meanMs = this.meanMs ?? 0;
    const marginMs = Math.max(
      DEVIATIONS * this.deviationMs,
      MIN_MARGIN_SHARE * meanMs,
    );
    const estimateMs = meanMs + marginMs;
    return Math.min(MAX_TIMEOUT_MS, Math.max(this.minTimeoutMs, estimateMs));
  }

  /** Adds the time from an order to its answer, in milliseconds. */
  add(responseMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = responseMs;
      this.deviationMs = responseMs / 2;
      return;
    }
    const errorMs = responseMs - this.meanMs;
    this.deviationMs +=
      DEVIATION_WEIGHT * (Math.abs(errorMs) - this.deviationMs);
    this.meanMs += MEAN_WEIGHT * errorMs;
  }
}
