import type {PeerState} from '@papayarun/membership';
import type {DataCentreId} from '@papayarun/protocol';
import {selectNextScheduler} from './select_next_scheduler.js';
import type {SchedulerGranterOptions} from './scheduler_granter_options.js';

/** Interval of the grant checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Grants the scheduler of each data centre to a live entry instance while the
 * local replica is the leader.
 */
export class SchedulerGranter {
  private readonly stopping = new AbortController();
  private leaderSinceMs: number | undefined;

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
        this.leaderSinceMs = undefined;
        continue;
      }
      this.leaderSinceMs ??= clock.now();
      await this.checkAllDataCentres();
    }
  }

  private async checkAllDataCentres(): Promise<void> {
    const byDataCentre = new Map<DataCentreId, PeerState[]>();
    for (const peer of this.opts.membership.livePeers()) {
      if (peer.heartbeat.role === 'entry') {
        const {dataCentre} = peer.heartbeat;
        byDataCentre.set(dataCentre, [
          ...(byDataCentre.get(dataCentre) ?? []),
          peer,
        ]);
      }
    }
    for (const [dataCentre, peers] of byDataCentre) {
      await this.checkDataCentre(dataCentre, peers);
    }
  }

  private async checkDataCentre(
    dataCentre: DataCentreId,
    peers: readonly PeerState[],
  ): Promise<void> {
    const {store, clock, heartbeatGraceMs, log} = this.opts;
    const currentGrant = store.state.schedulers[dataCentre];
    const candidates = peers.map(({instanceId, heartbeat}) => ({
      instanceId,
      boot: heartbeat.boot,
      state: heartbeat.state,
    }));
    const isHolderAlive = candidates.some(
      candidate => candidate.instanceId === currentGrant?.instanceId,
    );
    const isGraceOver =
      clock.now() - (this.leaderSinceMs ?? Infinity) > heartbeatGraceMs;
    const next = selectNextScheduler(currentGrant, candidates);
    if (!next || (currentGrant && !isHolderAlive && !isGraceOver)) {
      return;
    }
    const {instanceId, boot} = next;
    try {
      const result = await this.opts.control().propose({
        kind: 'grantScheduler',
        dataCentre,
        fromToken: currentGrant?.token ?? 0,
        instanceId,
        boot,
      });
      log.emit('schedulerGranted', {
        dataCentre,
        held: currentGrant,
        live: candidates,
        result,
      });
    } catch (err) {
      log.emit('schedulerGranted', {
        dataCentre,
        held: currentGrant,
        live: candidates,
        err: (err as Error).message,
      });
    }
  }
}
