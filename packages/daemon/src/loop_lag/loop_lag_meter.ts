import type {Clock, EventLog} from '@papayarun/protocol';
import {afterReading} from './after_reading.js';

/** Interval of the samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;
/** Factor by which a past lag decreases with each sample. */
const DECAY_PER_SAMPLE = 0.5;
/** Number of missed samples from which the loop runs late. */
const LATE_SAMPLES = 2;
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
  private readUpTo: number;

  private constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    this.readUpTo = clock.now();
  }

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

  /**
   * Monotonic time before which nothing arrived on an open connection that is
   * still unread, in milliseconds. What is read now may have arrived at any moment
   * since; a connection that waits to be accepted may be older.
   */
  get readUpToMs(): number {
    return this.readUpTo;
  }

  /**
   * Waits until messages that have arrived are read, if the loop runs late.
   *
   * @returns Resolves after the next reading; undefined if the loop is in time.
   */
  catchUp(): Promise<void> | undefined {
    const lateMs = this.clock.now() - this.readUpTo;
    return lateMs > LATE_SAMPLES * SAMPLE_INTERVAL_MS
      ? afterReading()
      : undefined;
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
      const sampledMs = this.clock.now();
      void afterReading().then(() => (this.readUpTo = sampledMs));
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
