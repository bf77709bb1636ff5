import type {BootId, Heartbeat, InstanceId} from '@papayarun/protocol';
import type {MembershipOptions} from './membership_options.js';
import type {PeerState} from './peer_state.js';

/**
 * Who is alive, by heartbeats.
 *
 * @description A peer is alive from its first heartbeat until it has been
 * silent for the timeout or its boot id changes. A process that finds that it
 * stood still for longer than the timeout forgets all peers' times first, so
 * that its own pause isn't taken for theirs.
 */
export class Membership {
  private readonly peers = new Map<InstanceId, PeerState>();
  private readonly alive = new Set<InstanceId>();
  private readonly stopping = new AbortController();
  private currentBoot: BootId;
  private sortedLive: InstanceId[] | undefined;

  private constructor(private readonly opts: MembershipOptions) {
    this.currentBoot = opts.boot;
  }

  /**
   * Makes the membership and takes over the heartbeat messages.
   *
   * @param opts - Names, network, clock, periods and callbacks.
   * @returns The membership, not started.
   * @example
   * const membership = Membership.create(opts);
   * membership.start();
   */
  static create(opts: MembershipOptions): Membership {
    const membership = new Membership(opts);
    opts.network.onNotice('heartbeat', (from, heartbeat) =>
      membership.receive(from, heartbeat),
    );
    return membership;
  }

  get boot(): BootId {
    return this.currentBoot;
  }

  /**
   * Takes a new incarnation, as after a restart.
   *
   * @param boot - The new boot id.
   */
  renew(boot: BootId): void {
    this.currentBoot = boot;
    this.beat();
  }

  start(): void {
    void this.beatLoop();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Sends a heartbeat to all linked peers now. */
  beat(): void {
    const heartbeat: Heartbeat = {
      boot: this.currentBoot,
      dataCentre: this.opts.dataCentre,
      ...this.opts.describe(),
    };
    for (const peer of this.opts.network.linked()) {
      this.opts.network.notify(peer, 'heartbeat', heartbeat);
    }
  }

  /** Whether a peer is alive. */
  isAlive(peer: InstanceId): boolean {
    return peer === this.opts.self || this.alive.has(peer);
  }

  /** State of a peer, alive or not, if it was ever heard. */
  peer(id: InstanceId): PeerState | undefined {
    return this.peers.get(id);
  }

  /** States of all live peers, without this instance. */
  livePeers(): PeerState[] {
    return [...this.alive].map(id => this.peers.get(id)!);
  }

  /** Live instances of this data centre that take work, with this one. */
  liveHere(): readonly InstanceId[] {
    this.sortedLive ??= [
      ...(this.opts.ownState() === 'draining' ? [] : [this.opts.self]),
      ...this.livePeers()
        .filter(p => p.heartbeat.dataCentre === this.opts.dataCentre)
        .filter(p => p.heartbeat.state === 'ready')
        .map(p => p.instanceId),
    ].sort();
    if (this.sortedLive.length === 0) {
      this.sortedLive = [this.opts.self];
    }
    return this.sortedLive;
  }

  /** Takes note that the live instances here may have changed. */
  invalidate(): void {
    this.sortedLive = undefined;
    this.opts.onLiveHere();
  }

  private receive(from: InstanceId, heartbeat: Heartbeat): void {
    const before = this.peers.get(from);
    const heardMs = this.opts.clock.now();
    this.peers.set(from, {instanceId: from, heartbeat, heardMs});
    const changed =
      before?.heartbeat.boot !== heartbeat.boot ||
      before.heartbeat.state !== heartbeat.state;
    const isNew = !this.alive.has(from);
    if (isNew) {
      this.alive.add(from);
      this.opts.onChange(from, true);
    }
    this.opts.onHeartbeat(from, heartbeat);
    if (changed || isNew) {
      this.invalidate();
    }
  }

  private async beatLoop(): Promise<void> {
    const {clock, heartbeatMs, timeoutMs} = this.opts;
    let lastMs = clock.now();
    while (!this.stopping.signal.aborted) {
      this.beat();
      await clock.sleep(heartbeatMs, this.stopping.signal);
      const nowMs = clock.now();
      if (nowMs - lastMs > timeoutMs) {
        this.forgive(nowMs);
        this.opts.onPause(nowMs - lastMs);
      }
      lastMs = nowMs;
      this.expire(nowMs);
    }
  }

  private forgive(nowMs: number): void {
    for (const id of this.alive) {
      this.peers.set(id, {...this.peers.get(id)!, heardMs: nowMs});
    }
  }

  private expire(nowMs: number): void {
    for (const id of [...this.alive]) {
      if (nowMs - this.peers.get(id)!.heardMs > this.opts.timeoutMs) {
        this.alive.delete(id);
        this.opts.onChange(id, false);
        this.invalidate();
      }
    }
  }
}
