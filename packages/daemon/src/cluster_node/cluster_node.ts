import {randomUUID} from 'node:crypto';
import {
  EndedPeerDetector,
  Membership,
  probeAddress,
  WsPeerNetwork,
} from '@papayarun/membership';
import type {BootId, InstanceId, ReplicaSet} from '@papayarun/protocol';
import type {Replica} from '@papayarun/replication';
import {ControlClient} from '../control_client/control_client.js';
import {LimitMonitor} from '../limit_monitor/limit_monitor.js';
import {LoopLagMeter} from '../loop_lag/loop_lag_meter.js';
import {addressOf} from './address_of.js';
import type {ClusterNodeOptions} from './cluster_node_options.js';
import {intervalsBetweenHeartbeats} from './intervals_between_heartbeats.js';
import {PeerDiscovery} from './peer_discovery.js';

const MAX_FRAME_BYTES = 32 * 1024 * 1024;
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
/** Longest search for the leader of the replicated log, in milliseconds. */
const LEADER_TIMEOUT_MS = 3_000;
/** Number of checks for silent links in the time that makes one silent. */
const LINK_CHECKS_PER_TIMEOUT = 4;
/** Longest wait for a connection to a peer whose link was lost, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;
const NO_REPLICAS: ReplicaSet = {voters: [], learners: []};
type OpenReplica = (
  network: WsPeerNetwork,
  discovery: PeerDiscovery,
) => Promise<Replica>;

const EMPTY_DIGEST = {own: {}, dataCentre: {}};

/**
 * Parts that entry and state instances share: links to peers that are
 * discovered from seeds, heartbeats, and the control state.
 */
export class ClusterNode {
  private constructor(
    opts: ClusterNodeOptions,
    readonly network: WsPeerNetwork,
    readonly membership: Membership,
    readonly discovery: PeerDiscovery,
    /** Client of the replicated log. */
    readonly control: ControlClient,
    /** Replica of the log on state instances. */
    readonly replica: Replica | undefined,
    private readonly endedPeers: EndedPeerDetector,
  ) {
    this.loopLag = LoopLagMeter.create(opts.clock, opts.log);
  }

  /** Lag of the event loop of this process. */
  readonly loopLag: LoopLagMeter;

  /**
   * Creates a node and opens its listener for peers, of whom nothing is handled
   * before `start`.
   *
   * @param opts - Settings, clock, log, store and callbacks.
   * @param openReplica - Opens the replica of the log; absent on instances without
   *   one.
   * @returns The node, not started.
   * @throws Error when the address can't be bound, or what `openReplica` throws.
   * @example
   * const node = await ClusterNode.create(opts);
   * node.start();
   */
  static async create(
    opts: ClusterNodeOptions,
    openReplica?: OpenReplica,
  ): Promise<ClusterNode> {
    const network = await openNetwork(
      opts,
      () => node,
      peer => endedPeers.check(peer),
    );
    const membership = createMembership(opts, network, () => node);
    const endedPeers = createEndedPeerDetector(opts, network, membership);
    const discovery = PeerDiscovery.create({
      cfg: opts.cfg,
      network,
      membership: () => membership,
      clock: opts.clock,
      log: opts.log,
      logMembers: () => logMembersOf(node.replica),
      shouldLink: peer => opts.shouldLink(peer, opts.store.state),
    });
    const replica = await openReplica?.(network, discovery);
    const control = ControlClient.create({
      network,
      clock: opts.clock,
      store: opts.store,
      replica,
      get replicaInstances() {
        return discovery.stateInstances();
      },
      leaderTimeoutMs: LEADER_TIMEOUT_MS,
      onProposalEnd: result => opts.metrics.countProposal(result),
    });
    const node = new ClusterNode(
      opts,
      network,
      membership,
      discovery,
      control,
      replica,
      endedPeers,
    );
    opts.store.onChange((before, after) => {
      // Entries learn of a change from state instances, and from each other at
      // the usual interval.
      if (opts.cfg.role === 'state') {
        membership.sendHeartbeat();
      }
      if (
        before.schedulers !== after.schedulers ||
        before.evacuations !== after.evacuations
      ) {
        discovery.updateLinks();
      }
    });
    return node;
  }

  /** Values of the gauges that both kinds of instances export. */
  gauges(): Record<string, number> {
    return {
      event_loop_lag_ms: this.loopLag.lagMs,
      peer_links: this.network.connectedPeers().length,
      unsent_peer_bytes: this.network.unsentBytes(),
    };
  }

  start(): void {
    this.loopLag.start();
    this.network.start();
    this.membership.start();
    this.replica?.start();
    this.discovery.updateLinks();
    this.discovery.start();
  }

  async stop(): Promise<void> {
    this.loopLag.stop();
    this.endedPeers.stop();
    this.discovery.stop();
    this.membership.stop();
    await this.replica?.stop();
    await this.network.stop();
  }
}

function logMembersOf(replica: Replica | undefined): InstanceId[] {
  const {voters, learners} = replica?.log.replicas ?? NO_REPLICAS;
  return [...voters, ...learners].map(ref => ref.instanceId);
}

function openNetwork(
  opts: ClusterNodeOptions,
  node: () => ClusterNode,
  checkLostPeer: (peer: InstanceId) => void,
): Promise<WsPeerNetwork> {
  const {cfg, log} = opts;
  const linkedPeers = new Set<InstanceId>();
  const limits = LimitMonitor.create(opts.clock, log, opts.metrics);
  return WsPeerNetwork.create(
    {
      self: cfg.instanceId,
      key: cfg.peerKey,
      peers: [],
      acceptsUnknownPeers: true,
      clock: opts.clock,
      random: opts.random,
      maxFrameBytes: MAX_FRAME_BYTES,
      maxBufferedBytes: MAX_BUFFERED_BYTES,
      linkTimeoutMs: peer => node().membership.timeoutOf(peer),
      readUpToMs: () => node().loopLag.readUpToMs,
      linkCheckMs: cfg.peerTimeoutMs / LINK_CHECKS_PER_TIMEOUT,
      observer: {
        linkUp: peer => {
          log.emit('linkUp', {peer});
          // The loss of a replaced link may be reported only after work has
          // come by the new one.
          if (linkedPeers.has(peer)) {
            opts.onLinkDown(peer);
          }
          linkedPeers.add(peer);
          opts.onLinkUp?.(peer);
          node().membership.sendHeartbeat([peer]);
        },
        linkDown: (peer, reason, silentMs) => {
          log.emit('linkDown', {peer, silentMs: Math.round(silentMs), reason});
          if (!node().network.connectedPeers().includes(peer)) {
            linkedPeers.delete(peer);
            checkLostPeer(peer);
            opts.onLinkDown(peer);
          }
        },
        linkRefused: reason => log.emit('linkRefused', {reason}),
        unknownClientClosed: () => limits.record('peerRefused'),
        sent: (type, bytes) => opts.metrics.countMessage(type, bytes),
      },
    },
    {host: cfg.host, port: cfg.port},
  );
}

function createEndedPeerDetector(
  opts: ClusterNodeOptions,
  network: WsPeerNetwork,
  membership: Membership,
): EndedPeerDetector {
  return EndedPeerDetector.create({
    clock: opts.clock,
    // Only grants depend on the end of an entry instance, and only state
    // instances propose these.
    isMissing: peer =>
      opts.cfg.role === 'state' &&
      membership.peer(peer)?.heartbeat.role === 'entry' &&
      membership.isAlive(peer) &&
      !network.connectedPeers().includes(peer),
    probe: peer => probeAddress(addressOf(peer), PROBE_TIMEOUT_MS),
    onChecked: (peer, hasEnded, probes) => {
      opts.log.emit(hasEnded ? 'peerEnded' : 'peerNotEnded', {peer, probes});
      if (hasEnded) {
        membership.recordEnd(peer);
      }
    },
  });
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
    intervalsBetweenHeartbeats: peer =>
      intervalsBetweenHeartbeats(cfg.role, peer),
    timeoutMs: cfg.peerTimeoutMs,
    ownState: opts.state,
    heartbeatFields: () => ({
      role: cfg.role,
      state: opts.state(),
      stateIndex: store.index,
      currentAgeMs: Number.MAX_SAFE_INTEGER,
      digest: EMPTY_DIGEST,
      maxTargets: opts.maxTargets,
      leads: node().replica?.isLeader,
      inFlightIntervalMs: opts.inFlightIntervalMs?.(),
      registersJobs: opts.registersJobs,
      appliesEvacuations: cfg.evacuationMs === undefined ? undefined : true,
    }),
    onHeartbeat: (from, heartbeat) =>
      void node().control.pullMissingState(from, heartbeat),
    onChange: (peer, alive) =>
      log.emit(alive ? 'peerAlive' : 'peerDead', {peer}),
    onLiveInDataCentreChange: () => undefined,
    onProcessPaused: pausedMs => {
      log.emit('paused', {pausedMs: Math.round(pausedMs)});
      membership.startNewIncarnation(randomUUID() as BootId);
      opts.onIncarnationChanged();
    },
  });
  return membership;
}
