import {MAX_CLOCK_DRIFT} from '../_lib/max_clock_drift.js';

/** Rounding of two readings, in milliseconds. */
const READING_SLACK_MS = 2;

/**
 * Estimate of a target's clock, from the times in its answers.
 */
export class TargetClock {
  private lastReadingMs: number | undefined;
  private readAtMs = 0;
  /** Local time at which the request for the last reading was sent. */
  private askedAtMs = 0;

  private constructor() {}

  /**
   * Creates an estimate without a reading.
   *
   * @returns The clock.
   * @example
   * const clock = TargetClock.create();
   */
  static create(): TargetClock {
    return new TargetClock();
  }

  /**
   * Adds a reading; one that is older than the last one is ignored.
   *
   * @param targetMs - Time on the target's clock in an answer, in milliseconds.
   * @param sentMs - Local monotonic time of the request, in milliseconds.
   * @param nowMs - Local monotonic time of the answer, in milliseconds.
   */
  addReading(targetMs: number, sentMs: number, nowMs: number): void {
    if (this.lastReadingMs === undefined || targetMs >= this.lastReadingMs) {
      this.lastReadingMs = targetMs;
      this.readAtMs = nowMs;
      this.askedAtMs = sentMs;
    }
  }

  /**
   * Whether a reading can't be of the clock that gave the last one, since the
   * target has restarted. Answers may overtake each other, so both readings are
   * from any moment between the request and its answer.
   *
   * @param targetMs - Time on the target's clock in an answer, in milliseconds.
   * @param sentMs - Local monotonic time of the request, in milliseconds.
   * @param nowMs - Local monotonic time of the answer, in milliseconds.
   * @returns False without an earlier reading.
   */
  isContradictedBy(targetMs: number, sentMs: number, nowMs: number): boolean {
    if (this.lastReadingMs === undefined) {
      return false;
    }
    const aheadMs = targetMs - this.lastReadingMs;
    const mostAheadMs = Math.max(0, nowMs - this.askedAtMs);
    const mostBehindMs = Math.max(0, this.readAtMs - sentMs);
    return (
      aheadMs > mostAheadMs * (1 + MAX_CLOCK_DRIFT) + READING_SLACK_MS ||
      -aheadMs > mostBehindMs * (1 + MAX_CLOCK_DRIFT) + READING_SLACK_MS
    );
  }

  /** Drops the readings, since the target's clock has started anew. */
  reset(): void {
    this.lastReadingMs = undefined;
  }

  /** Whether there was a reading. */
  get isKnown(): boolean {
    return this.lastReadingMs !== undefined;
  }

  /**
   * Time that the target's clock has reached for certain, even if it runs slow by
   * the largest drift. A lease that is counted from a later time would be too
   * long.
   *
   * @param nowMs - Local monotonic time in milliseconds.
   * @returns Time on the target's clock in milliseconds; 0 without a reading.
   */
  at(nowMs: number): number {
    if (this.lastReadingMs === undefined) {
      return 0;
    }
    const elapsedMs = nowMs - this.readAtMs;
    return Math.floor(this.lastReadingMs + elapsedMs - this.maxErrorMs(nowMs));
  }

  /**
   * Most by which the target's clock may have run slow since the last reading.
   *
   * @param nowMs - Local monotonic time in milliseconds.
   * @returns The error in milliseconds.
   */
  maxErrorMs(nowMs: number): number {
    return Math.max(0, nowMs - this.readAtMs) * MAX_CLOCK_DRIFT;
  }

  /**
   * Local time by which the target's clock has reached a time, even if it runs
   * slow by the largest drift.
   *
   * @param targetMs - Time on the target's clock in milliseconds.
   * @returns Local monotonic time in milliseconds.
   */
  latestLocalTimeOf(targetMs: number): number {
    const aheadMs = targetMs - (this.lastReadingMs ?? 0);
    return this.readAtMs + Math.max(0, aheadMs) / (1 - MAX_CLOCK_DRIFT);
  }
}
