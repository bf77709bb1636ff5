import type {Clock, EventLog} from '@papayarun/protocol';

/** Interval of the samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;
/** Factor by which a past lag decreases with each sample. */
const DECAY_PER_SAMPLE = 0.5;
/** Lag from which it is logged, in milliseconds. */
const LOGGED_LAG_MS = 200;
/** Shortest time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Measures how late the event loop runs its timers.
 *
 * @description A process that has too little processor time reads answers and
 * starts orders this much too late, so its time-outs and estimates have to
 * allow for it.
 */
export class LoopLagMeter {
  private readonly stopping = new AbortController();
  private decayingLagMs = 0;
  private nextSampleAtMs = Infinity;
  private lastLoggedMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /**
   * Creates a meter.
   *
   * @param clock - Monotonic clock.
   * @param log - Event log, which gets `loopLate` when the lag is large.
   * @returns The meter, not started; its lag is 0.
   * @example
   * const meter = LoopLagMeter.create(clock, log);
   * meter.start();
   */
  static create(clock: Clock, log: EventLog): LoopLagMeter {
    return new LoopLagMeter(clock, log);
  }

  /** Lag of the last samples and of one that is overdue, in milliseconds. */
  get lagMs(): number {
    return Math.max(this.decayingLagMs, this.clock.now() - this.nextSampleAtMs);
  }

  start(): void {
    void this.sampleLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async sampleLoop(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      this.nextSampleAtMs = this.clock.now() + SAMPLE_INTERVAL_MS;
      await this.clock.sleep(SAMPLE_INTERVAL_MS, signal);
      const lateMs = Math.max(0, this.clock.now() - this.nextSampleAtMs);
      this.decayingLagMs = Math.max(
        lateMs,
        this.decayingLagMs * DECAY_PER_SAMPLE,
      );
      this.logLag(lateMs);
    }
  }

  private logLag(lateMs: number): void {
    const nowMs = this.clock.now();
    if (
      lateMs >= LOGGED_LAG_MS &&
      nowMs - this.lastLoggedMs >= LOG_INTERVAL_MS
    ) {
      this.lastLoggedMs = nowMs;
      this.log.emit('loopLate', {lagMs: Math.round(lateMs)});
    }
  }
}
