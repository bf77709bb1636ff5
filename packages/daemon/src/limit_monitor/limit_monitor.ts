import type {Clock, EventLog} from '@papayarun/protocol';
import type {Metrics} from '../metrics/metrics.js';
import type {LimitKind} from './limit_kind.js';

/** Shortest time between two log lines of a kind, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Counts and logs what was refused to clients with unfinished requests.
 */
export class LimitMonitor {
  private readonly unlogged = new Map<LimitKind, number>();
  private readonly loggedMs = new Map<LimitKind, number>();

  private constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly log: EventLog,
    private readonly metrics: Pick<Metrics, 'countLimit'>,
  ) {}

  /**
   * Creates a monitor.
   *
   * @param clock - Monotonic clock.
   * @param log - Event log, which gets `limitReached` once a second for each kind.
   * @param metrics - Metrics, which count all of them.
   * @returns The monitor.
   * @throws Never.
   * @example
   * const monitor = LimitMonitor.create(clock, log, metrics);
   */
  static create(
    clock: Pick<Clock, 'now'>,
    log: EventLog,
    metrics: Pick<Metrics, 'countLimit'>,
  ): LimitMonitor {
    return new LimitMonitor(clock, log, metrics);
  }

  /** Notes that a limit was reached. */
  record(limit: LimitKind): void {
    this.metrics.countLimit(limit);
    const count = (this.unlogged.get(limit) ?? 0) + 1;
    this.unlogged.set(limit, count);
    const nowMs = this.clock.now();
    if (nowMs - (this.loggedMs.get(limit) ?? -Infinity) >= LOG_INTERVAL_MS) {
      this.loggedMs.set(limit, nowMs);
      this.unlogged.set(limit, 0);
      this.log.emit('limitReached', {limit, count});
    }
  }
}
