import type {PeerState} from '@papayarun/membership';
import type {DataCentreId} from '@papayarun/protocol';
import {nextGrant} from './next_grant.js';
import type {SchedulerGranterOptions} from './scheduler_granter_options.js';

/** Period of the checks, in milliseconds. */
const PERIOD_MS = 100;

/**
 * Grants, on the leader, each data centre's scheduler to a live entry.
 */
export class SchedulerGranter {
  private readonly stopping = new AbortController();
  private leaderSinceMs: number | undefined;

  private constructor(private readonly opts: SchedulerGranterOptions) {}

  /**
   * Makes it.
   *
   * @param opts - Replica, store and membership.
   * @returns It, not started.
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
      await clock.sleep(PERIOD_MS, this.stopping.signal);
      if (!replica.isLeader) {
        this.leaderSinceMs = undefined;
        continue;
      }
      this.leaderSinceMs ??= clock.now();
      await this.check();
    }
  }

  private async check(): Promise<void> {
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
    const {store, clock, settleMs, log} = this.opts;
    const held = store.state.schedulers[dataCentre];
    const live = peers.map(({instanceId, heartbeat}) => ({
      instanceId,
      boot: heartbeat.boot,
      state: heartbeat.state,
    }));
    const isHolderHeard = live.some(
      entry => entry.instanceId === held?.instanceId,
    );
    const isSettled = clock.now() - (this.leaderSinceMs ?? Infinity) > settleMs;
    const next = nextGrant(held, live);
    if (!next || (held && !isHolderHeard && !isSettled)) {
      return;
    }
    const {instanceId, boot} = next;
    try {
      const result = await this.opts.control().propose({
        kind: 'grantScheduler',
        dataCentre,
        fromToken: held?.token ?? 0,
        instanceId,
        boot,
      });
      log.emit('schedulerGranted', {dataCentre, held, live, result});
    } catch (err) {
      log.emit('schedulerGranted', {
        dataCentre,
        held,
        live,
        err: (err as Error).message,
      });
    }
  }
}
