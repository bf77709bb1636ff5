import type {
  DataCentreId,
  InstanceId,
  KnownInstance,
} from '@papayarun/protocol';
import type {ControlState} from '@papayarun/releases';
import {addressOf} from './address_of.js';
import type {PeerDiscoveryOptions} from './peer_discovery_options.js';

/**
 * Interval of `listInstances` calls to state instances while new instances are
 * found, in milliseconds.
 */
const REFRESH_INTERVAL_MS = 1_000;
/**
 * Longest interval of `listInstances` calls, in milliseconds; a fraction of the
 * time after which an instance is removed.
 */
const MAX_REFRESH_INTERVAL_MS = 4_000;
const LIST_INSTANCES_TIMEOUT_MS = 1_000;
/**
 * Time after which an instance that no peer has heard from is removed, in
 * milliseconds.
 */
const INSTANCE_TTL_MS = 30_000;

/**
 * Discovers the other instances, starting from a few seeds.
 *
 * @description Each instance asks one linked state instance after the other for
 * the instances that it has heard from, once a second while it learns of new
 * ones and less often otherwise. The only stored list is that of the members of
 * the replicated log, in the log itself; a state instance dials them besides.
 */
export class PeerDiscovery {
  private readonly knownInstances = new Map<
    InstanceId,
    {readonly instance: KnownInstance; lastSeenMs: number}
  >();
  private readonly stopping = new AbortController();
  private nextPeerIndex = 0;
  /** Whether an instance was recorded that was not known before. */
  private hasFoundNew = false;
  private seeds: readonly InstanceId[];
  /** Seeds and members of the log that are dialled, however long they are silent. */
  private permanentPeers = new Set<InstanceId>();

  private constructor(private readonly opts: PeerDiscoveryOptions) {
    this.seeds = opts.cfg.seeds;
  }

  /**
   * Creates peer discovery and serves `listInstances` calls of peers.
   *
   * @param opts - Settings, network and membership.
   * @returns The peer discovery, not started; it has the seeds only.
   * @example
   * const discovery = PeerDiscovery.create(opts);
   * discovery.start();
   */
  static create(opts: PeerDiscoveryOptions): PeerDiscovery {
    const discovery = new PeerDiscovery(opts);
    opts.network.onCall('listInstances', () =>
      Promise.resolve({instances: discovery.liveInstances()}),
    );
    return discovery;
  }

  start(): void {
    void this.refreshLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** State instances that may hold a replica of the log, linked ones first. */
  stateInstances(): InstanceId[] {
    const {cfg, network} = this.opts;
    const ids = new Set<InstanceId>([...this.seeds, ...this.opts.logMembers()]);
    for (const {instance} of this.knownInstances.values()) {
      if (instance.role === 'state') {
        ids.add(instance.instanceId);
      }
    }
    for (const peer of this.opts.membership().livePeers()) {
      if (peer.heartbeat.role === 'state') {
        ids.add(peer.instanceId);
      }
    }
    if (cfg.role === 'state') {
      ids.add(cfg.instanceId);
    }
    const linked = new Set(network.connectedPeers());
    const isSelfOrLinked = (id: InstanceId): boolean =>
      id === cfg.instanceId || linked.has(id);
    return [...ids].sort(
      (a, b) => Number(isSelfOrLinked(b)) - Number(isSelfOrLinked(a)),
    );
  }

  /** Replaces the seeds. */
  useSeeds(seeds: readonly InstanceId[]): void {
    this.seeds = seeds;
    this.updateLinks();
  }

  /** Records instances as seen now, and updates the links. */
  recordInstances(instances: readonly KnownInstance[]): void {
    const nowMs = this.opts.clock.now();
    for (const instance of instances) {
      if (instance.instanceId !== this.opts.cfg.instanceId) {
        this.hasFoundNew ||= !this.knownInstances.has(instance.instanceId);
        this.knownInstances.set(instance.instanceId, {
          instance,
          lastSeenMs: nowMs,
        });
      }
    }
    this.updateLinks();
  }

  /**
   * Records the schedulers granted in the log and links to them at once, without
   * waiting for a state instance to list them.
   */
  recordSchedulers(schedulers: ControlState['schedulers']): void {
    this.recordInstances(
      Object.entries(schedulers).map(([dataCentre, {instanceId}]) => ({
        instanceId,
        dataCentre: dataCentre as DataCentreId,
        role: 'entry',
      })),
    );
  }

  /**
   * Keeps links to seeds, members of the log and wanted instances, and stops
   * dialling instances that have expired.
   */
  updateLinks(): void {
    const {network, clock, shouldLink} = this.opts;
    const nowMs = clock.now();
    this.updatePermanentPeers();
    for (const [id, {instance, lastSeenMs}] of this.knownInstances) {
      const isExpired = nowMs - lastSeenMs > INSTANCE_TTL_MS;
      if (isExpired && !this.permanentPeers.has(id)) {
        this.knownInstances.delete(id);
        network.removeDiscoveredPeer(id);
      } else if (shouldLink(instance)) {
        network.addDiscoveredPeer(addressOf(id));
      }
    }
  }

  private updatePermanentPeers(): void {
    const {network, logMembers} = this.opts;
    const previousPeers = this.permanentPeers;
    this.permanentPeers = new Set([...this.seeds, ...logMembers()]);
    for (const id of this.permanentPeers) {
      network.addDiscoveredPeer(addressOf(id));
    }
    for (const id of previousPeers) {
      if (!this.permanentPeers.has(id) && !this.knownInstances.has(id)) {
        network.removeDiscoveredPeer(id);
      }
    }
  }

  /** Opens a link to an instance, if there is none. */
  linkTo(id: InstanceId): void {
    this.opts.network.addDiscoveredPeer(addressOf(id));
  }

  private liveInstances(): KnownInstance[] {
    return this.opts
      .membership()
      .livePeers()
      .map(({instanceId, heartbeat}) => ({
        instanceId,
        dataCentre: heartbeat.dataCentre,
        role: heartbeat.role,
      }));
  }

  private async refreshLoop(): Promise<void> {
    const {clock, network} = this.opts;
    let intervalMs = REFRESH_INTERVAL_MS;
    while (!this.stopping.signal.aborted) {
      const linked = new Set(network.connectedPeers());
      const linkedStateInstances = this.stateInstances().filter(id =>
        linked.has(id),
      );
      const to =
        linkedStateInstances[
          this.nextPeerIndex++ % Math.max(1, linkedStateInstances.length)
        ];
      if (to !== undefined) {
        await this.fetchInstances(to);
      }
      this.recordInstances(this.liveInstances());
      if (to === undefined) {
        intervalMs = REFRESH_INTERVAL_MS / 10;
      } else if (this.hasFoundNew) {
        intervalMs = REFRESH_INTERVAL_MS;
      } else {
        intervalMs = Math.min(MAX_REFRESH_INTERVAL_MS, 2 * intervalMs);
      }
      this.hasFoundNew = false;
      await clock.sleep(intervalMs, this.stopping.signal);
    }
  }

  private async fetchInstances(to: InstanceId): Promise<void> {
    try {
      const opts = {timeoutMs: LIST_INSTANCES_TIMEOUT_MS};
      const res = await this.opts.network.call(to, 'listInstances', {}, opts);
      this.recordInstances(res.instances);
    } catch (err) {
      this.opts.log.emit('instancesNotListed', {
        peer: to,
        reason: (err as Error).message,
      });
    }
  }
}
