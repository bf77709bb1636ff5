import type {InstanceId} from '@papayarun/protocol';
import type {RequesterMonitorOptions} from './requester_monitor_options.js';

/** Number of checks in the time that makes a requester lost. */
const CHECKS_PER_SILENCE = 9;

/** What the last check has seen of a requester. */
interface Silence {
  readonly lastHeardMs: number | undefined;
  readonly silentMs: number;
}

/**
 * Watches the instances that wait for jobs of the schedulers here.
 *
 * @description The caller of an instance that is frozen or cut off may send its
 * job again by another one, to a scheduler that knows nothing of its runs. A link
 * that is silent without being broken counts as lost for much longer than a
 * caller waits before it does so. Time in which this process didn't run doesn't
 * count as silence, since messages may have arrived unread meanwhile.
 */
export class RequesterMonitor {
  private readonly stopping = new AbortController();
  private silences = new Map<InstanceId, Silence>();

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
    const {clock, maxSilenceMs} = this.opts;
    const intervalMs = maxSilenceMs / CHECKS_PER_SILENCE;
    let lastMs = clock.now();
    while (!this.stopping.signal.aborted) {
      await clock.sleep(intervalMs, this.stopping.signal);
      const nowMs = clock.now();
      this.check(Math.min(nowMs - lastMs, 2 * intervalMs));
      lastMs = nowMs;
    }
  }

  /** Adds the time since the last check to the silence of each requester. */
  private check(elapsedMs: number): void {
    const {clock, maxSilenceMs, requesters, onSilent} = this.opts;
    const silences = new Map<InstanceId, Silence>();
    for (const requester of requesters()) {
      const lastHeardMs = this.opts.lastHeardMs(requester);
      const last = this.silences.get(requester);
      const isSame = last !== undefined && last.lastHeardMs === lastHeardMs;
      const sinceHeardMs = clock.now() - (lastHeardMs ?? clock.now());
      const silentMs = isSame
        ? last.silentMs + elapsedMs
        : Math.min(sinceHeardMs, elapsedMs);
      if (silentMs > maxSilenceMs) {
        onSilent(requester, silentMs);
      } else {
        silences.set(requester, {lastHeardMs, silentMs});
      }
    }
    this.silences = silences;
  }
}
