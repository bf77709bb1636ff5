import type {
  CancelJobsCall,
  CancelledJob,
  InstanceId,
} from '@papayarun/protocol';
import {CancelledJobTable} from './cancelled_job_table.js';
import type {CancellationRelayOptions} from './cancellation_relay_options.js';
import {checkCancelledJobs} from './check_cancelled_jobs.js';
import {RoundBatcher} from './round_batcher.js';
import {tellMissedJobs} from './tell_missed_jobs.js';

/**
 * Silence after which an entry instance needn't confirm, in milliseconds. It is
 * told when it is linked again.
 */
const LOST_AFTER_MS = 3_000;
const ENTRY_TIMEOUT_MS = 200;
const ROUND_DELAY_MS = 1;
const ROUND_INTERVAL_MS = 50;
/**
 * Interval for each entry instance, in milliseconds, so that no more than 500 calls
 * a second are sent.
 */
const INTERVAL_PER_ENTRY_MS = 2;

/**
 * Passes cancellations on to the entry instances, of which not all are linked to
 * each other, and tells those that are linked again what they missed.
 */
export class CancellationRelay {
  private readonly table: CancelledJobTable;
  private readonly rounds: RoundBatcher<CancelledJob, CancelJobsCall['res']>;

  private constructor(private readonly opts: CancellationRelayOptions) {
    const {clock, entries, network} = opts;
    this.table = CancelledJobTable.create(clock);
    this.rounds = RoundBatcher.create(clock, {
      delayMs: ROUND_DELAY_MS,
      intervalMs: () =>
        Math.max(
          ROUND_INTERVAL_MS,
          INTERVAL_PER_ENTRY_MS * entries(LOST_AFTER_MS).length,
        ),
      send: jobs => this.tellAll(jobs),
    });
    network.onCall('cancelJobs', (_from, {jobs}) =>
      this.accept(checkCancelledJobs(jobs)),
    );
    network.onNotice(
      'cancelledJobs',
      (_from, {jobs}) => void this.table.add(checkCancelledJobs(jobs)),
    );
  }

  /**
   * Creates a relay and serves the calls of entry instances.
   *
   * @param opts - Clock, network and entry instances.
   * @returns The relay.
   * @example
   * const relay = CancellationRelay.create(opts);
   */
  static create(opts: CancellationRelayOptions): CancellationRelay {
    return new CancellationRelay(opts);
  }

  /** Tells an instance with a new link of all cancelled jobs. */
  tellMissed(peer: InstanceId): void {
    tellMissedJobs(this.opts.network, peer, this.table.list());
  }

  private accept(
    jobs: readonly CancelledJob[],
  ): Promise<CancelJobsCall['res']> {
    return this.table.add(jobs)
      ? this.rounds.add(jobs)
      : Promise.resolve({
          accepted: false,
          found: [],
          confirmed: [],
          unconfirmed: [],
        });
  }

  private async tellAll(
    jobs: readonly CancelledJob[],
  ): Promise<CancelJobsCall['res']> {
    const entries = this.opts.entries(LOST_AFTER_MS);
    const answers = await Promise.all(
      entries.map(entry => this.tell(entry, jobs)),
    );
    const isConfirmed = (n: number): boolean => answers[n]?.accepted === true;
    return {
      accepted: true,
      found: answers.flatMap(answer => answer?.found ?? []),
      confirmed: entries.filter((_, n) => isConfirmed(n)),
      unconfirmed: entries.filter((_, n) => !isConfirmed(n)),
    };
  }

  private async tell(
    entry: InstanceId,
    jobs: readonly CancelledJob[],
  ): Promise<CancelJobsCall['res'] | undefined> {
    const opts = {timeoutMs: ENTRY_TIMEOUT_MS};
    try {
      return await this.opts.network.call(entry, 'cancelJobs', {jobs}, opts);
    } catch {
      return undefined;
    }
  }
}
