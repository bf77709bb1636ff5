import type {DataCentreId} from '@papayarun/protocol';
import {entryCandidates} from './entry_candidates.js';
import type {EntryCandidate} from './entry_candidate.js';
import {planGrants} from './plan_grants.js';
import type {PlannedGrant} from './planned_grant.js';
import type {SchedulerGranterOptions} from './scheduler_granter_options.js';

/** Interval of the grant checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Grants the shards of each data centre to live entry instances while the local
 * replica is the leader.
 */
export class SchedulerGranter {
  private readonly stopping = new AbortController();
  /**
   * Monotonic time since which an entry instance of a data centre has been heard
   * without a break while the local replica led.
   */
  private readonly heardSinceMs = new Map<DataCentreId, number>();

  private constructor(private readonly opts: SchedulerGranterOptions) {}

  /**
   * Creates a granter.
   *
   * @param opts - Replica, store and membership.
   * @returns The granter, not started.
   * @example
   * SchedulerGranter.create(opts).start();
   */
  static create(opts: SchedulerGranterOptions): SchedulerGranter {
    return new SchedulerGranter(opts);
  }

  start(): void {
    void this.loop();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async loop(): Promise<void> {
    const {clock, replica} = this.opts;
    while (!this.stopping.signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, this.stopping.signal);
      if (!replica.isLeader) {
        this.heardSinceMs.clear();
        continue;
      }
      await this.checkAllDataCentres();
    }
  }

  private async checkAllDataCentres(): Promise<void> {
    const {membership, network, clock, heartbeatGraceMs, store} = this.opts;
    const byDataCentre = entryCandidates(membership);
    for (const dataCentre of this.heardSinceMs.keys()) {
      if (!byDataCentre.has(dataCentre)) {
        this.heardSinceMs.delete(dataCentre);
      }
    }
    const linked = new Set(network.connectedPeers());
    const nowMs = clock.now();
    const grants: Array<Promise<void>> = [];
    for (const [dataCentre, candidates] of byDataCentre) {
      const sinceMs = this.heardSinceMs.get(dataCentre) ?? nowMs;
      this.heardSinceMs.set(dataCentre, sinceMs);
      // After a cut, the instances of a data centre are heard one by one.
      const mayReplaceSilent = nowMs - sinceMs > heartbeatGraceMs;
      const planned = planGrants(store.state, dataCentre, candidates, {
        mayReplaceSilent,
        hasEnded: ({instanceId, boot}) => membership.hasEnded(instanceId, boot),
        isLinked: instance => linked.has(instance),
      });
      grants.push(...planned.map(grant => this.propose(grant, candidates)));
    }
    await Promise.all(grants);
  }

  private async propose(
    {shard, fromToken, instanceId, boot}: PlannedGrant,
    candidates: readonly EntryCandidate[],
  ): Promise<void> {
    const {store, log} = this.opts;
    const fields = {
      shard,
      held: store.state.schedulers[shard],
      live: candidates,
    };
    try {
      const result = await this.opts.control().propose({
        kind: 'grantScheduler',
        dataCentre: shard,
        fromToken,
        instanceId,
        boot,
      });
      log.emit('schedulerGranted', {...fields, result});
    } catch (err) {
      log.emit('schedulerGranted', {...fields, err: (err as Error).message});
    }
  }
}
