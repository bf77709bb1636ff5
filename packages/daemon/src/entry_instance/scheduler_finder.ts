import type {DataCentreId, JobRefusal} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import type {Holder} from './holder.js';
import type {SchedulerFinderOptions} from './scheduler_finder_options.js';

/** Pause while a lost scheduler's successor is awaited, in milliseconds. */
const SUCCESSOR_POLL_MS = 20;
/** Longest wait for a successor of a lost scheduler, in milliseconds. */
const MAX_SUCCESSOR_WAIT_MS = 1_200;
/** Time after the start in which schedulers are likely to be granted, in ms. */
const STARTUP_MS = 1_000;
/** Time for a scheduler that was granted to ask its targets, in ms. */
const TAKEOVER_MS = 500;

/**
 * Knows by the log and the links which schedulers can be reached.
 */
export class SchedulerFinder {
  /** Monotonic time at which this data centre's grant last changed. */
  private grantChangedMs = -Infinity;
  private grantToken = 0;
  private readonly startedMs: number;

  private constructor(private readonly opts: SchedulerFinderOptions) {
    this.startedMs = opts.clock.now();
  }

  /**
   * Makes a finder.
   *
   * @param opts - Log state, links and clock.
   * @returns The finder.
   * @example
   * const finder = SchedulerFinder.create(opts);
   */
  static create(opts: SchedulerFinderOptions): SchedulerFinder {
    return new SchedulerFinder(opts);
  }

  /** Takes note of the grant that is in force for this data centre. */
  noteGrant(token: number): void {
    if (token !== this.grantToken) {
      this.grantToken = token;
      this.noteChange();
    }
  }

  /** Takes note that a scheduler changes, before the log says so here. */
  noteChange(): void {
    this.grantChangedMs = this.opts.clock.now();
  }

  /** Schedulers that can be reached, the one of this data centre first. */
  reachable(): Holder[] {
    const {cfg} = this.opts;
    const {membership, network, store} = this.opts;
    const linked = new Set(network.linked());
    const holders: Holder[] = [];
    for (const [name, grant] of Object.entries(store.state.schedulers)) {
      const isSelf =
        grant.instanceId === cfg.instanceId &&
        this.opts.ownToken() === grant.token;
      const isReachable =
        linked.has(grant.instanceId) && membership.isAlive(grant.instanceId);
      if (isSelf || isReachable) {
        holders.push({dataCentre: name as DataCentreId, grant});
      }
    }
    const rank = (holder: Holder): number =>
      holder.dataCentre === cfg.dataCentre ? 0 : 1 + this.opts.random.next();
    return holders
      .map(holder => ({holder, rank: rank(holder)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({holder}) => holder);
  }

  /** The scheduler of this data centre, if it can be reached. */
  ownOf(holders: readonly Holder[]): Holder | undefined {
    const {dataCentre} = this.opts.cfg;
    return holders.find(holder => holder.dataCentre === dataCentre);
  }

  /** Whether a refusal comes of a scheduler that takes over just now. */
  isTakeover(reason: JobRefusal): boolean {
    const nowMs = this.opts.clock.now();
    return (
      (nowMs - this.grantChangedMs < TAKEOVER_MS ||
        nowMs - this.startedMs < STARTUP_MS) &&
      (reason === 'notScheduler' || reason === 'noTargets')
    );
  }

  /** Waits until another scheduler of a data centre can be reached. */
  async successorOf(
    dataCentre: DataCentreId,
    former: SchedulerGrant,
    signal: AbortSignal,
  ): Promise<SchedulerGrant | undefined> {
    const {clock} = this.opts;
    const startedMs = clock.now();
    while (!signal.aborted && clock.now() - startedMs < MAX_SUCCESSOR_WAIT_MS) {
      const next = this.reachable().find(h => h.dataCentre === dataCentre);
      if (next && next.grant.token > former.token) {
        return next.grant;
      }
      await clock.sleep(SUCCESSOR_POLL_MS);
    }
    return undefined;
  }
}
