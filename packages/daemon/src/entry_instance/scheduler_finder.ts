import type {DataCentreId, JobRefusal} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import type {DataCentreScheduler} from './data_centre_scheduler.js';
import type {SchedulerFinderOptions} from './scheduler_finder_options.js';

/** Interval of the checks for a successor of a scheduler, in milliseconds. */
const SUCCESSOR_POLL_INTERVAL_MS = 20;
/** Longest wait for the successor of a scheduler, in milliseconds. */
const MAX_SUCCESSOR_WAIT_MS = 1_200;
/**
 * Time after the start of this instance in which schedulers are likely to be
 * granted, in milliseconds.
 */
const STARTUP_WINDOW_MS = 1_000;
/**
 * Time that a newly granted scheduler has to query its targets, in
 * milliseconds.
 */
const TAKEOVER_WINDOW_MS = 500;

/**
 * Finds the reachable schedulers from the grants in the replicated log and the
 * open links to peers.
 */
export class SchedulerFinder {
  /** Monotonic time at which the grant of this data centre last changed. */
  private grantChangedMs = -Infinity;
  private grantToken = 0;
  private readonly startedMs: number;

  private constructor(private readonly opts: SchedulerFinderOptions) {
    this.startedMs = opts.clock.now();
  }

  /**
   * Creates a scheduler finder.
   *
   * @param opts - Control state, links, membership and clock.
   * @returns The finder.
   * @example
   * const finder = SchedulerFinder.create(opts);
   */
  static create(opts: SchedulerFinderOptions): SchedulerFinder {
    return new SchedulerFinder(opts);
  }

  /** Records the token of the current grant of this data centre. */
  recordGrant(token: number): void {
    if (token !== this.grantToken) {
      this.grantToken = token;
      this.recordGrantChange();
    }
  }

  /**
   * Records that the grant of this data centre changes now, also before the
   * change is applied on this instance.
   */
  recordGrantChange(): void {
    this.grantChangedMs = this.opts.clock.now();
  }

  /**
   * Lists the reachable schedulers: the one of this data centre first, the
   * others in random order.
   */
  reachable(): DataCentreScheduler[] {
    const {cfg} = this.opts;
    const {membership, network, store} = this.opts;
    const linked = new Set(network.connectedPeers());
    const schedulers: DataCentreScheduler[] = [];
    for (const [dataCentre, grant] of Object.entries(store.state.schedulers)) {
      const isSelf =
        grant.instanceId === cfg.instanceId &&
        this.opts.ownToken() === grant.token;
      const isReachable =
        linked.has(grant.instanceId) && membership.isAlive(grant.instanceId);
      if (isSelf || isReachable) {
        schedulers.push({dataCentre: dataCentre as DataCentreId, grant});
      }
    }
    const rank = (scheduler: DataCentreScheduler): number =>
      scheduler.dataCentre === cfg.dataCentre ? 0 : 1 + this.opts.random.next();
    return schedulers
      .map(scheduler => ({scheduler, rank: rank(scheduler)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({scheduler}) => scheduler);
  }

  /** Finds the scheduler of this data centre in a list of reachable ones. */
  localSchedulerIn(
    schedulers: readonly DataCentreScheduler[],
  ): DataCentreScheduler | undefined {
    const {dataCentre} = this.opts.cfg;
    return schedulers.find(scheduler => scheduler.dataCentre === dataCentre);
  }

  /** Whether a refusal is due to a scheduler takeover that is in progress. */
  isTakeoverRefusal(reason: JobRefusal): boolean {
    const nowMs = this.opts.clock.now();
    return (
      (nowMs - this.grantChangedMs < TAKEOVER_WINDOW_MS ||
        nowMs - this.startedMs < STARTUP_WINDOW_MS) &&
      (reason === 'notScheduler' || reason === 'noTargets')
    );
  }

  /**
   * Waits until a data centre has a reachable scheduler with a higher fencing
   * token than the previous grant; undefined on abort or timeout.
   */
  async waitForSuccessor(
    dataCentre: DataCentreId,
    previous: SchedulerGrant,
    signal: AbortSignal,
  ): Promise<SchedulerGrant | undefined> {
    const {clock} = this.opts;
    const startedMs = clock.now();
    while (!signal.aborted && clock.now() - startedMs < MAX_SUCCESSOR_WAIT_MS) {
      const successor = this.reachable().find(
        scheduler => scheduler.dataCentre === dataCentre,
      );
      if (successor && successor.grant.token > previous.token) {
        return successor.grant;
      }
      await clock.sleep(SUCCESSOR_POLL_INTERVAL_MS);
    }
    return undefined;
  }
}
