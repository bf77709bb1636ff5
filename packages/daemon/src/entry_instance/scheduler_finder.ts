import type {DataCentreId, JobRefusal, ShardId} from '@papayarun/protocol';
import {dataCentreOfShard} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import type {SchedulerFinderOptions} from './scheduler_finder_options.js';
import type {ShardScheduler} from './shard_scheduler.js';

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
  private grantTokens = '';
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

  /** Records the tokens of the current grants of this data centre. */
  recordGrants(tokens: readonly number[]): void {
    const joined = tokens.join();
    if (joined !== this.grantTokens) {
      this.grantTokens = joined;
      this.recordGrantChange();
    }
  }

  /**
   * Records that a grant of this data centre changes now, also before the
   * change is applied on this instance.
   */
  recordGrantChange(): void {
    this.grantChangedMs = this.opts.clock.now();
  }

  /**
   * Lists the reachable schedulers: first those of this instance, then those of
   * this data centre, then the others, each group in random order.
   */
  reachable(): ShardScheduler[] {
    const {cfg} = this.opts;
    const {membership, network, store} = this.opts;
    const linked = new Set(network.connectedPeers());
    const schedulers: Array<{scheduler: ShardScheduler; rank: number}> = [];
    for (const [id, grant] of Object.entries(store.state.schedulers)) {
      const shard = id as ShardId;
      const isSelf =
        grant.instanceId === cfg.instanceId &&
        this.opts.ownToken(shard) === grant.token;
      const isReachable =
        linked.has(grant.instanceId) && membership.isAlive(grant.instanceId);
      if (isSelf || isReachable) {
        const dataCentre = dataCentreOfShard(shard);
        const group = isSelf ? 0 : dataCentre === cfg.dataCentre ? 1 : 2;
        const scheduler = {shard, dataCentre, grant};
        schedulers.push({scheduler, rank: group + this.opts.random.next()});
      }
    }
    return schedulers
      .sort((a, b) => a.rank - b.rank)
      .map(({scheduler}) => scheduler);
  }

  /** Lists the reachable schedulers whose data centre is not evacuated. */
  reachableInService(): ShardScheduler[] {
    return this.reachable().filter(
      ({dataCentre}) => !this.opts.isEvacuated(dataCentre),
    );
  }

  /**
   * Lists the reachable schedulers that a job is submitted to before others are
   * asked for quotes: those of this data centre, or of all others if this one is
   * evacuated.
   *
   * @param refusing - Data centres that have refused the job as evacuated, also if
   *   their evacuation isn't known here yet.
   */
  firstChoices(refusing: ReadonlySet<DataCentreId>): ShardScheduler[] {
    const {dataCentre: own} = this.opts.cfg;
    const isOwnExcluded = this.opts.isEvacuated(own) || refusing.has(own);
    return this.reachableInService().filter(
      ({dataCentre}) =>
        !refusing.has(dataCentre) && (isOwnExcluded || dataCentre === own),
    );
  }

  /** Whether there are schedulers, all of them in evacuated data centres. */
  areAllEvacuated(): boolean {
    const shards = Object.keys(this.opts.store.state.schedulers) as ShardId[];
    return (
      shards.length > 0 &&
      shards.every(shard => this.opts.isEvacuated(dataCentreOfShard(shard)))
    );
  }

  /** Whether there are schedulers in evacuated data centres. */
  isAnyEvacuated(): boolean {
    const shards = Object.keys(this.opts.store.state.schedulers) as ShardId[];
    return shards.some(shard =>
      this.opts.isEvacuated(dataCentreOfShard(shard)),
    );
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
   * Waits until a shard has a reachable scheduler with a higher fencing token
   * than the previous grant.
   *
   * @param shard - The shard.
   * @param previous - Grant that was lost.
   * @param latestMs - Monotonic time at which the caller of the job stops
   *   waiting, in milliseconds.
   * @param signal - Aborts when the caller disconnects.
   * @returns The grant of the successor; undefined on abort or timeout.
   */
  async waitForSuccessor(
    shard: ShardId,
    previous: SchedulerGrant,
    latestMs: number,
    signal: AbortSignal,
  ): Promise<SchedulerGrant | undefined> {
    const {clock} = this.opts;
    const endMs = Math.min(latestMs, clock.now() + MAX_SUCCESSOR_WAIT_MS);
    while (!signal.aborted && clock.now() < endMs) {
      const grant = this.opts.store.state.schedulers[shard];
      if (grant && grant.token > previous.token) {
        // The former holder may have been reached by a link that it had dialled.
        this.opts.linkTo(grant.instanceId);
      }
      const successor = this.reachable().find(
        scheduler => scheduler.shard === shard,
      );
      if (successor && successor.grant.token > previous.token) {
        return successor.grant;
      }
      const leftMs = endMs - clock.now();
      await clock.sleep(Math.min(SUCCESSOR_POLL_INTERVAL_MS, leftMs));
    }
    return undefined;
  }
}
