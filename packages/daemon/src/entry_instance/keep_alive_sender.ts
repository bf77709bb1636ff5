import type {KeepAliveSenderOptions} from './keep_alive_sender_options.js';

const NOTICE = {};

/**
 * Shows the schedulers that run jobs of this instance that it still waits for
 * them.
 *
 * @description One notice for all jobs at an instance, and only if nothing else
 * was sent to it: a busy link carries none.
 */
export class KeepAliveSender {
  private readonly stopping = new AbortController();

  private constructor(private readonly opts: KeepAliveSenderOptions) {}

  /**
   * Creates a sender.
   *
   * @param opts - Clock, interval, network and schedulers.
   * @returns The sender, not started.
   * @example
   * const sender = KeepAliveSender.create(opts);
   * sender.start();
   */
  static create(opts: KeepAliveSenderOptions): KeepAliveSender {
    return new KeepAliveSender(opts);
  }

  start(): void {
    void this.sendLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async sendLoop(): Promise<void> {
    const {afterReading, clock, intervalMs, network, schedulers} = this.opts;
    // A message that was sent less than half an interval ago is followed by the
    // next check in time.
    const checkMs = intervalMs / 2;
    while (!this.stopping.signal.aborted) {
      await clock.sleep(checkMs, this.stopping.signal);
      await afterReading();
      for (const scheduler of schedulers()) {
        const sentMs = network.lastSentMs(scheduler) ?? -Infinity;
        if (clock.now() - sentMs >= checkMs) {
          network.notify(scheduler, 'keepAlive', NOTICE);
        }
      }
    }
  }
}
