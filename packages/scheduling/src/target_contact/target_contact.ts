import type {Clock} from '@papayarun/protocol';

/**
 * When a target was last heard, and how many holds it has left unanswered.
 */
export class TargetContact {
  /** Whether the last order failed since nothing listens at the address. */
  isRefusing = false;
  private heardMs: number;
  private quietSinceMs: number | undefined;
  private failures = 0;

  private constructor(private readonly clock: Pick<Clock, 'now'>) {
    this.heardMs = clock.now();
  }

  /**
   * Creates the record of a target that was just heard.
   *
   * @param clock - Monotonic clock.
   * @returns The record.
   * @example
   * const contact = TargetContact.create(clock);
   */
  static create(clock: Pick<Clock, 'now'>): TargetContact {
    return new TargetContact(clock);
  }

  /** Monotonic time of the last answer or report of the target. */
  get lastContactMs(): number {
    return this.heardMs;
  }

  /**
   * Monotonic time since which the target has not answered; undefined if it
   * does.
   */
  get silentSinceMs(): number | undefined {
    return this.quietSinceMs;
  }

  /** Unanswered holds since the last answer. */
  get consecutiveFailures(): number {
    return this.failures;
  }

  /** Time since the target was last heard, in milliseconds; 0 if it answers. */
  get silentMs(): number {
    const nowMs = this.clock.now();
    return Math.round(nowMs - (this.quietSinceMs ?? nowMs));
  }

  /** Records a report, which says nothing of the answers to orders. */
  recordReport(): void {
    this.heardMs = this.clock.now();
  }

  /** Records an answer to an order. */
  recordAnswer(): void {
    this.heardMs = this.clock.now();
    this.failures = 0;
  }

  /** Records that a hold has got no answer. */
  recordFailure(): void {
    this.failures++;
  }

  /** Records that the target no longer answers; false if that was known. */
  markSilent(): boolean {
    if (this.quietSinceMs !== undefined) {
      return false;
    }
    this.quietSinceMs = this.clock.now();
    return true;
  }

  /** Records that a silent target answers again. */
  markHeard(): void {
    this.quietSinceMs = undefined;
    this.isRefusing = false;
  }

  /** Continues with a new incarnation, which counts as heard. */
  restart(): void {
    this.markHeard();
    this.failures = 0;
  }
}
