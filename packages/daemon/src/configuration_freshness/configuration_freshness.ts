import type {Clock} from '@papayarun/protocol';

/**
 * Tracks how long ago the configuration was last confirmed as the latest.
 *
 * @description The leader confirms its state by a quorum. Other instances learn
 * the age from heartbeats: if a peer with the same or an older state was current
 * some milliseconds ago, this instance was current at that time too.
 */
export class ConfigurationFreshness {
  private confirmedMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly leaderAgeMs: () => number,
  ) {}

  /**
   * Creates a tracker without a confirmation.
   *
   * @param clock - Clock with monotonic time.
   * @param leaderAgeMs - Milliseconds since this instance was last confirmed as
   *   the leader; infinite if it doesn't lead.
   * @returns The tracker, with an infinite age.
   * @example
   * const freshness = ConfigurationFreshness.create(clock, () => Infinity);
   */
  static create(
    clock: Clock,
    leaderAgeMs: () => number,
  ): ConfigurationFreshness {
    return new ConfigurationFreshness(clock, leaderAgeMs);
  }

  /** Records a confirmation that is `ageMs` old. */
  recordConfirmation(ageMs: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, this.clock.now() - ageMs);
  }

  /** Milliseconds since the last confirmation. */
  ageMs(): number {
    this.recordConfirmation(this.leaderAgeMs());
    return this.clock.now() - this.confirmedMs;
  }
}
