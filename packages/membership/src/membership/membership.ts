import type {
  BootId,
  DataCentreId,
  Heartbeat,
  InstanceId,
} from '@papayarun/protocol';
import {checkHeartbeat} from '../_lib/check_heartbeat.js';
import type {MembershipOptions} from './membership_options.js';
import type {PeerState} from './peer_state.js';

/**
 * Failure detector for peers, based on heartbeats.
 *
 * @description A peer is alive from its first heartbeat until it has been
 * silent for the timeout or its end is recorded; a changed boot id marks a new
 * incarnation of it.
 * After a pause of this process that is longer than the timeout, the silence
 * of all live peers is counted from the end of the pause, so that the pause
 * isn't mistaken for their failure.
 */
export class Membership {
  private readonly peers = new Map<InstanceId, PeerState>();
  private readonly alive = new Set<InstanceId>();
  private readonly stopping = new AbortController();
  private currentBoot: BootId;
  private liveCache: InstanceId[] | undefined;

  private constructor(private readonly opts: MembershipOptions) {
    this.currentBoot = opts.boot;
  }

  /**
   * Creates the membership and registers its heartbeat handler.
   *
   * @param opts - Identity, network, clock, intervals and callbacks.
   * @returns The membership, not started.
   * @example
   * const membership = Membership.create(opts);
   * membership.start();
   */
  static create(opts: MembershipOptions): Membership {
    const membership = new Membership(opts);
    opts.network.onNotice('heartbeat', (from, heartbeat) =>
      membership.receive(from, checkHeartbeat(heartbeat)),
    );
    return membership;
  }

  get boot(): BootId {
    return this.currentBoot;
  }

  /**
   * Starts a new incarnation, as after a restart, and sends a heartbeat.
   *
   * @param boot - The new boot id.
   */
  startNewIncarnation(boot: BootId): void {
    this.currentBoot = boot;
    this.sendHeartbeat();
  }

  start(): void {
    void this.heartbeatLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Sends a heartbeat now, to all linked peers unless some are given. */
  sendHeartbeat(peers = this.opts.network.connectedPeers()): void {
    this.sendHeartbeatTo(peers);
  }

  /**
   * Silence after which a peer is considered dead, in milliseconds; it depends
   * on the interval that the peer has announced.
   */
  timeoutOf(peer: InstanceId): number {
    const {heartbeatMs, timeoutMs} = this.opts;
    const announcedMs = this.peers.get(peer)?.heartbeat.intervalMs;
    return timeoutMs * Math.max(1, (announcedMs ?? 0) / heartbeatMs);
  }

  /** Whether a peer is alive. */
  isAlive(peer: InstanceId): boolean {
    return peer === this.opts.self || this.alive.has(peer);
  }

  /**
   * Whether the process of a peer is known to have ended in an incarnation.
   *
   * @param peer - Id of the peer.
   * @param boot - The incarnation.
   * @returns False also if the incarnation was never heard.
   */
  hasEnded(peer: InstanceId, boot: BootId): boolean {
    const state = this.peers.get(peer);
    return state?.heartbeat.boot === boot && state.hasEnded;
  }

  /**
   * Records that the process of a peer has ended; the peer is dead at once. Its
   * next heartbeat makes it alive again.
   *
   * @param peer - Id of the peer.
   */
  recordEnd(peer: InstanceId): void {
    const state = this.peers.get(peer);
    if (state) {
      this.peers.set(peer, {...state, hasEnded: true});
      this.expire(peer);
    }
  }

  /** State of a peer, alive or not; undefined if no heartbeat was received. */
  peer(id: InstanceId): PeerState | undefined {
    return this.peers.get(id);
  }

  /** States of all live peers, excluding this instance. */
  livePeers(): PeerState[] {
    return [...this.alive].map(id => this.peers.get(id)!);
  }

  /**
   * States of the peers that were heard within a time, without those whose
   * process is known to have ended since.
   *
   * @param ms - The time in milliseconds.
   * @returns The states.
   */
  peersHeardWithin(ms: number): PeerState[] {
    const sinceMs = this.opts.clock.now() - ms;
    return [...this.peers.values()].filter(
      ({hasEnded, lastHeardMs}) => !hasEnded && lastHeardMs >= sinceMs,
    );
  }

  /**
   * Live instances of this data centre that accept work, sorted by id.
   * Includes this instance unless it is draining; never empty, since this
   * instance is returned when there is no other.
   */
  liveInDataCentre(): readonly InstanceId[] {
    this.liveCache ??= [
      ...(this.opts.ownState() === 'draining' ? [] : [this.opts.self]),
      ...this.livePeers()
        .filter(p => p.heartbeat.dataCentre === this.opts.dataCentre)
        .filter(p => p.heartbeat.state === 'ready')
        .map(p => p.instanceId),
    ].sort();
    if (this.liveCache.length === 0) {
      this.liveCache = [this.opts.self];
    }
    return this.liveCache;
  }

  /**
   * Clears the cached list of `liveInDataCentre` and calls
   * `onLiveInDataCentreChange`.
   */
  invalidateLiveInstances(): void {
    this.liveCache = undefined;
    this.opts.onLiveInDataCentreChange();
  }

  private receive(from: InstanceId, heartbeat: Heartbeat): void {
    const previous = this.peers.get(from);
    const lastHeardMs = this.opts.clock.now();
    if (previous?.hasEnded && previous.heartbeat.boot === heartbeat.boot) {
      this.withdrawEnds(heartbeat.dataCentre);
    }
    this.peers.set(from, {
      instanceId: from,
      heartbeat,
      lastHeardMs,
      hasEnded: false,
    });
    const hasChanged =
      previous?.heartbeat.boot !== heartbeat.boot ||
      previous.heartbeat.state !== heartbeat.state;
    const isNew = !this.alive.has(from);
    if (isNew) {
      this.alive.add(from);
      this.opts.onChange(from, true);
    }
    this.opts.onHeartbeat(from, heartbeat);
    if (hasChanged || isNew) {
      this.invalidateLiveInstances();
    }
  }

  private sendHeartbeatTo(peers: readonly InstanceId[]): void {
    const {dataCentre, heartbeatMs, network} = this.opts;
    const fields = {
      boot: this.currentBoot,
      dataCentre,
      ...this.opts.heartbeatFields(),
    };
    for (const peer of peers) {
      const intervalMs = heartbeatMs * this.intervalsTo(peer);
      network.notify(peer, 'heartbeat', {...fields, intervalMs});
    }
  }

  /** Peers that get a heartbeat in a round, others each time. */
  private peersDueAt(round: number): InstanceId[] {
    return this.opts.network
      .connectedPeers()
      .filter((peer, n) => (round + n) % this.intervalsTo(peer) === 0);
  }

  /** Number of intervals between two heartbeats to a peer. */
  private intervalsTo(peer: InstanceId): number {
    const heartbeat = this.peers.get(peer)?.heartbeat;
    return heartbeat?.intervalMs === undefined
      ? 1
      : (this.opts.intervalsBetweenHeartbeats?.(heartbeat) ?? 1);
  }

  private async heartbeatLoop(): Promise<void> {
    const {clock, heartbeatMs, timeoutMs} = this.opts;
    let lastMs = clock.now();
    let round = 0;
    while (!this.stopping.signal.aborted) {
      this.sendHeartbeatTo(this.peersDueAt(round++));
      await clock.sleep(heartbeatMs, this.stopping.signal);
      const nowMs = clock.now();
      if (nowMs - lastMs > timeoutMs) {
        this.resetSilence(nowMs);
        this.opts.onProcessPaused(nowMs - lastMs);
      }
      lastMs = nowMs;
      this.expirePeers(nowMs);
    }
  }

  /** Counts the silence of all live peers from now. */
  private resetSilence(nowMs: number): void {
    for (const id of this.alive) {
      this.peers.set(id, {...this.peers.get(id)!, lastHeardMs: nowMs});
    }
  }

  private expirePeers(nowMs: number): void {
    for (const id of [...this.alive]) {
      if (nowMs - this.peers.get(id)!.lastHeardMs > this.timeoutOf(id)) {
        this.expire(id);
      }
    }
  }

  private expire(id: InstanceId): void {
    if (this.alive.delete(id)) {
      this.opts.onChange(id, false);
      this.invalidateLiveInstances();
    }
  }

  /**
   * Withdraws the recorded ends in a data centre. One that proved wrong was due to
   * a cut, which the other instances there may have survived as well.
   */
  private withdrawEnds(dataCentre: DataCentreId): void {
    for (const [id, state] of this.peers) {
      if (state.hasEnded && state.heartbeat.dataCentre === dataCentre) {
        this.peers.set(id, {...state, hasEnded: false});
      }
    }
  }
}
