import type {Clock} from '@papayarun/protocol';

/**
 * Knows how long ago the configuration was last confirmed as the latest.
 *
 * @description The leader confirms itself by its majority. Others hear the
 * age in heartbeats: a peer with the same or an older state that was current
 * so many milliseconds ago makes this instance current as of then.
 */
export class Currency {
  private confirmedMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly leaderAgeMs: () => number,
  ) {}

  /**
   * Makes it, never confirmed.
   *
   * @param clock - Time.
   * @param leaderAgeMs - Age by this instance's own leadership, else infinite.
   * @returns The currency.
   * @example
   * const currency = Currency.create(clock, () => Infinity);
   */
  static create(clock: Clock, leaderAgeMs: () => number): Currency {
    return new Currency(clock, leaderAgeMs);
  }

  /** Takes a confirmation that is `ageMs` old. */
  confirm(ageMs: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, this.clock.now() - ageMs);
  }

  ageMs(): number {
    this.confirm(this.leaderAgeMs());
    return this.clock.now() - this.confirmedMs;
  }
}
