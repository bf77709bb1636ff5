import type {
  Clock,
  InFlightJob,
  InstanceId,
  PeerNotices,
} from '@papayarun/protocol';
import {NoticeBatcher} from './notice_batcher.js';

/**
 * Delay of a notice, in milliseconds: a caller may come back within a few. What
 * is interrupted at one moment goes into one notice.
 */
const DELAY_MS = 1;
/** Shortest interval of the notices in the long run, in milliseconds. */
const MIN_INTERVAL_MS = 5;
/**
 * Interval for each recipient, in milliseconds, so that an instance sends no more
 * than a thousand notices a second.
 */
const INTERVAL_PER_RECIPIENT_MS = 1;
const BURST = 10;
/** Most jobs that a notice names; the runs of others are told without names. */
const MAX_JOBS = 4_096;

/**
 * Sends the notices that tell instances of interrupted jobs, and limits how many
 * are sent.
 */
export class InterruptionSender {
  private readonly batcher: NoticeBatcher<InFlightJob>;
  /** Monotonic time by which the runs of jobs without names have ended, in ms. */
  private othersUntilMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    recipients: () => readonly InstanceId[],
    notify: (
      recipient: InstanceId,
      notice: PeerNotices['interruptedJobs'],
    ) => void,
  ) {
    this.batcher = NoticeBatcher.create(clock, {
      delayMs: DELAY_MS,
      intervalMs: () =>
        Math.max(
          MIN_INTERVAL_MS,
          INTERVAL_PER_RECIPIENT_MS * recipients().length,
        ),
      burst: BURST,
      maxItems: MAX_JOBS,
      onDropped: jobs =>
        jobs.forEach(({forMs}) => forMs > 0 && this.addOthers(forMs)),
      send: jobs => {
        const notice = {jobs, ...this.takeOthers()};
        recipients().forEach(peer => notify(peer, notice));
      },
    });
  }

  /**
   * Creates a sender.
   *
   * @param clock - Clock of the delays.
   * @param recipients - The instances.
   * @param notify - Sends a notice to one of them.
   * @returns The sender.
   * @example
   * const sender = InterruptionSender.create(clock, entries, (peer, notice) =>
   *   network.notify(peer, 'interruptedJobs', notice));
   */
  static create(
    clock: Clock,
    recipients: () => readonly InstanceId[],
    notify: (
      recipient: InstanceId,
      notice: PeerNotices['interruptedJobs'],
    ) => void,
  ): InterruptionSender {
    return new InterruptionSender(clock, recipients, notify);
  }

  /** Names jobs in the next notice. */
  add(jobs: readonly InFlightJob[]): void {
    this.batcher.add(jobs);
  }

  /**
   * Tells in the next notice that runs of other jobs may go on.
   *
   * @param forMs - Time for which they may, in milliseconds.
   */
  addOthers(forMs: number): void {
    this.othersUntilMs = Math.max(this.othersUntilMs, this.clock.now() + forMs);
    this.batcher.request();
  }

  private takeOthers(): {readonly othersForMs?: number} {
    const othersForMs = this.othersUntilMs - this.clock.now();
    this.othersUntilMs = -Infinity;
    return othersForMs > 0 ? {othersForMs} : {};
  }
}
