import {randomUUID} from 'node:crypto';
import {Membership, WsPeerNetwork} from '@papayarun/membership';
import type {BootId} from '@papayarun/protocol';
import type {Replica} from '@papayarun/replication';
import {ControlClient} from '../control_client/control_client.js';
import type {ClusterNodeOptions} from './cluster_node_options.js';
import {Roster} from './roster.js';

const MAX_FRAME_BYTES = 32 * 1024 * 1024;
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
/** Longest search for a leader of the log, in milliseconds. */
const LEADER_TIMEOUT_MS = 3_000;
const EMPTY_DIGEST = {own: {}, dataCentre: {}};

/**
 * What entry and state instances have in common: links to peers that are
 * found from seeds, heartbeats, and the control state.
 */
export class ClusterNode {
  private constructor(
    private readonly opts: ClusterNodeOptions,
    readonly network: WsPeerNetwork,
    readonly membership: Membership,
    readonly roster: Roster,
  ) {}

  /** Set before `start`; of state instances alone. */
  replica: Replica | undefined;
  private clientOrNone: ControlClient | undefined;

  /**
   * Opens the listener for peers.
   *
   * @param opts - Names, clock, log, store and callbacks.
   * @returns The parts, not started.
   * @throws Error when the address can't be used.
   * @example
   * const node = await ClusterNode.create(opts);
   * node.start();
   */
  static async create(opts: ClusterNodeOptions): Promise<ClusterNode> {
    const network = await openNetwork(opts);
    const membership = createMembership(opts, network, () => node);
    const roster = Roster.create({
      cfg: opts.cfg,
      network,
      membership: () => membership,
      clock: opts.clock,
      log: opts.log,
      wants: known => opts.wants(known, opts.store.state),
    });
    const node = new ClusterNode(opts, network, membership, roster);
    opts.store.onChange(() => {
      membership.beat();
      roster.link();
    });
    return node;
  }

  /** The way to the replicated log. */
  get control(): ControlClient {
    const {opts, roster} = this;
    this.clientOrNone ??= ControlClient.create({
      network: this.network,
      clock: opts.clock,
      store: opts.store,
      replica: this.replica,
      get replicaInstances() {
        return roster.stateInstances();
      },
      leaderTimeoutMs: LEADER_TIMEOUT_MS,
    });
    return this.clientOrNone;
  }

  start(): void {
    void this.control;
    this.network.start();
    this.membership.start();
    this.replica?.start();
    this.roster.link();
    this.roster.start();
  }

  async stop(): Promise<void> {
    this.roster.stop();
    this.membership.stop();
    await this.replica?.stop();
    await this.network.stop();
  }
}

function openNetwork(opts: ClusterNodeOptions): Promise<WsPeerNetwork> {
  const {cfg, log} = opts;
  return WsPeerNetwork.create(
    {
      self: cfg.instanceId,
      key: cfg.peerKey,
      peers: [],
      isOpen: true,
      clock: opts.clock,
      random: opts.random,
      maxFrameBytes: MAX_FRAME_BYTES,
      maxBufferedBytes: MAX_BUFFERED_BYTES,
      silenceMs: cfg.peerTimeoutMs,
      observer: {
        linkUp: peer => log.emit('linkUp', {peer}),
        linkDown: (peer, reason) => {
          log.emit('linkDown', {peer, reason});
          opts.onLinkDown(peer);
        },
        linkRefused: reason => log.emit('linkRefused', {reason}),
        sent: (type, bytes) => opts.metrics.countMessage(type, bytes),
      },
    },
    {host: cfg.host, port: cfg.port},
  );
}

function createMembership(
  opts: ClusterNodeOptions,
  network: WsPeerNetwork,
  node: () => ClusterNode,
): Membership {
  const {cfg, log, store} = opts;
  const membership = Membership.create({
    self: cfg.instanceId,
    dataCentre: cfg.dataCentre,
    boot: randomUUID() as BootId,
    network,
    clock: opts.clock,
    heartbeatMs: cfg.heartbeatMs,
    timeoutMs: cfg.peerTimeoutMs,
    ownState: opts.state,
    describe: () => ({
      role: cfg.role,
      state: opts.state(),
      stateIndex: store.index,
      currentAgeMs: Number.MAX_SAFE_INTEGER,
      digest: EMPTY_DIGEST,
    }),
    onHeartbeat: (from, heartbeat) =>
      void node().control.learn(from, heartbeat),
    onChange: (peer, alive) =>
      log.emit(alive ? 'peerAlive' : 'peerDead', {peer}),
    onLiveHere: () => undefined,
    onPause: pausedMs => {
      log.emit('paused', {pausedMs: Math.round(pausedMs)});
      membership.renew(randomUUID() as BootId);
      opts.onRenewed();
    },
  });
  return membership;
}
