import type {InstanceId} from '@papayarun/protocol';
import type {RequesterMonitorOptions} from './requester_monitor_options.js';

/** Number of checks in the time that makes a requester lost. */
const CHECKS_PER_SILENCE = 9;

/**
 * Watches the instances that wait for jobs of the schedulers here.
 *
 * @description The caller of an instance that is frozen or cut off may send its
 * job again by another one, to a scheduler that knows nothing of its runs. A link
 * that is silent without being broken counts as lost for much longer than a
 * caller waits before it does so. Time in which this process stood still counts
 * as silence, unless a message that arrived meanwhile is read after it.
 */
export class RequesterMonitor {
  private readonly stopping = new AbortController();
  /** Monotonic time since which a requester has had no link. */
  private unlinkedSinceMs = new Map<InstanceId, number>();

  private constructor(private readonly opts: RequesterMonitorOptions) {}

  /**
   * Creates a monitor.
   *
   * @param opts - Clock, limit, requesters and callback.
   * @returns The monitor, not started.
   * @example
   * const monitor = RequesterMonitor.create(opts);
   * monitor.start();
   */
  static create(opts: RequesterMonitorOptions): RequesterMonitor {
    return new RequesterMonitor(opts);
  }

  start(): void {
    void this.checkLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async checkLoop(): Promise<void> {
    const {afterReading, clock, maxSilenceMs} = this.opts;
    while (!this.stopping.signal.aborted) {
      const intervalMs = maxSilenceMs / CHECKS_PER_SILENCE;
      await clock.sleep(intervalMs, this.stopping.signal);
      await afterReading();
      this.check();
    }
  }

  private check(): void {
    const {clock, heardMs, maxSilenceMs, onSilent, requesters} = this.opts;
    const nowMs = clock.now();
    const unlinkedSinceMs = new Map<InstanceId, number>();
    for (const requester of requesters()) {
      let sinceMs = heardMs(requester);
      if (sinceMs === undefined) {
        sinceMs = this.unlinkedSinceMs.get(requester) ?? nowMs;
        unlinkedSinceMs.set(requester, sinceMs);
      }
      if (nowMs - sinceMs > maxSilenceMs) {
        onSilent(requester, nowMs - sinceMs);
      }
    }
    this.unlinkedSinceMs = unlinkedSinceMs;
  }
}
