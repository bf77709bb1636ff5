import {randomUUID} from 'node:crypto';
import type {
  DataCentreId,
  Heartbeat,
  InstanceId,
  KnownInstance,
  PeerNetwork,
  ReplicaId,
  TargetReport,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {AcceptedConfiguration} from '@papayarun/releases';
import {ControlStore} from '@papayarun/releases';
import {Replica} from '@papayarun/replication';
import {CancellationRelay} from '../cancelled_jobs/cancellation_relay.js';
import {ClusterNode} from '../cluster_node/cluster_node.js';
import type {PeerDiscovery} from '../cluster_node/peer_discovery.js';
import {EvacuationOrders} from '../evacuations/evacuation_orders.js';
import {EvacuationTracker} from '../evacuations/evacuation_tracker.js';
import {InterruptedJobRelay} from '../interrupted_jobs/interrupted_job_relay.js';
import {afterNextReading} from '../loop_lag/after_next_reading.js';
import {livePeersOf} from '../members/live_peers_of.js';
import {JobRegistrar} from '../registered_jobs/job_registrar.js';
import {formCluster} from '../form_cluster/form_cluster.js';
import {SchedulerGranter} from './scheduler_granter.js';
import type {StateInstanceOptions} from './state_instance_options.js';
import {TargetAssigner} from './target_assigner.js';
import {TargetDirectory} from './target_directory.js';

/** Number of log entries after which the replica compacts its log. */
const COMPACT_AFTER_ENTRIES = 512;
/**
 * Size of the journal beyond its snapshot after which it is compacted, in bytes;
 * a small part of the smallest disk.
 */
const COMPACT_AFTER_BYTES = 8 * 1024 * 1024;
/** Delay between attempts to form the cluster at the first start, in ms. */
const FORM_CLUSTER_RETRY_DELAY_MS = 50;
/**
 * Time that each seed leaves to the seeds before it to form the cluster, in
 * milliseconds. Two that form it at once form the same one.
 */
const FORM_CLUSTER_TURN_MS = 1_000;
/** Interval of the sweeps of expired target reports, in milliseconds. */
const SWEEP_INTERVAL_MS = 1_000;
/** Longest wait until a confirmed log index has been applied here, in ms. */
const APPLY_TIMEOUT_MS = 500;
const APPLY_POLL_INTERVAL_MS = 2;

/**
 * Instance with a disk: holds a replica of the log, accepts configurations from
 * operators and reports from targets, and grants schedulers.
 */
export class StateInstance {
  private readonly store = ControlStore.create();
  private readonly stopping = new AbortController();
  private state: Heartbeat['state'] = 'ready';
  private node!: ClusterNode;
  private replica!: Replica;
  private interruptedJobs!: InterruptedJobRelay;
  private registrar!: JobRegistrar;
  private granter!: SchedulerGranter;
  private assigner!: TargetAssigner;
  private cancellations!: CancellationRelay;
  private evacuationOrders!: EvacuationOrders;
  private readonly evacuations: EvacuationTracker;
  targetDirectory!: TargetDirectory;

  private constructor(private readonly opts: StateInstanceOptions) {
    this.evacuations = EvacuationTracker.create({
      clock: opts.clock,
      log: opts.log,
      evacuationMs: opts.cfg.evacuationMs,
    });
  }

  /**
   * Opens the journal and starts to listen for peers.
   *
   * @param opts - Settings, disk, clock and log.
   * @returns The running instance.
   * @throws JournalCorruptError when its journal is corrupt; Error when the
   *   address can't be bound.
   * @example
   * const instance = await StateInstance.create(opts);
   */
  static async create(opts: StateInstanceOptions): Promise<StateInstance> {
    const instance = new StateInstance(opts);
    await instance.open();
    instance.start();
    return instance;
  }

  get isLeader(): boolean {
    return this.replica.isLeader;
  }

  /** Latest configuration that this replica has applied, if there is one. */
  get configuration(): AcceptedConfiguration | undefined {
    return this.store.state.configuration;
  }

  /**
   * Replaces the whole configuration.
   *
   * @param revision - Its revision; the highest revision takes effect.
   * @param content - The configuration, already validated.
   * @returns Revision in effect afterwards.
   * @throws DispatchError `mayHaveRun` when it is unknown whether it was
   *   accepted, `notRun` when it was not accepted.
   */
  async applyConfiguration(
    revision: number,
    content: unknown,
  ): Promise<number> {
    const {log} = this.opts;
    const result = await this.node.control.propose({
      kind: 'applyConfiguration',
      revision,
      content,
    });
    if (result.kind !== 'configuration') {
      throw DispatchError.mayHaveRun(
        'internal',
        'applyConfiguration returned a result of another kind than `configuration`',
      );
    }
    log.emit('configurationDecided', {
      revision,
      changed: result.changed,
      inForce: result.revision,
    });
    return result.revision;
  }

  /**
   * Reads the latest accepted configuration, confirmed by a quorum.
   *
   * @returns The configuration, or undefined before the first one.
   * @throws DispatchError `notRun` when no leader is confirmed by a quorum, or
   *   this replica lags behind it.
   */
  async readConfiguration(): Promise<AcceptedConfiguration | undefined> {
    const index = await this.node.control.readIndex();
    if (index === undefined) {
      throw DispatchError.notRun(
        'noQuorum',
        'no replica confirmed that it leads the log',
      );
    }
    await this.waitUntilApplied(index);
    return this.store.state.configuration;
  }

  /**
   * Evacuates a data centre, or takes it back.
   *
   * @param dataCentre - The data centre.
   * @param isEvacuated - Whether it is to be evacuated.
   * @param signal - Aborts when the sender of the order disconnects.
   * @returns Resolves when the order is in force and durable.
   * @throws DispatchError `notRun` when it was not accepted, `mayHaveRun` when it is
   *   unknown whether it was.
   */
  setEvacuation(
    dataCentre: DataCentreId,
    isEvacuated: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    return this.evacuationOrders.set(dataCentre, isEvacuated, signal);
  }

  /**
   * Accepts a report from a target.
   *
   * @param report - The report.
   * @returns Whether the report may be acknowledged to the target.
   */
  acceptReport(report: TargetReport): Promise<boolean> {
    return this.targetDirectory.accept(report);
  }

  /** Values of the gauges to export as metrics. */
  gauges(): Record<string, number> {
    return {
      ...this.node.gauges(),
      ...this.evacuations.gauges(),
      leader: Number(this.replica.isLeader),
      leader_stalled_ms: this.replica.stalledMs,
      leader_stalls: this.replica.stalls,
      log_term: this.replica.log.term,
      commit_index: this.replica.log.commitIndex,
      log_voters: this.replica.log.replicas.voters.length,
      log_silent_voters: this.replica.silentVoters,
      log_learners: this.replica.log.replicas.learners.length,
      known_targets: this.targetDirectory.size,
      registered_jobs: this.registrar.heldJobs,
      ended_jobs: this.registrar.endedJobs,
      configuration_revision: this.store.state.configuration?.revision ?? 0,
    };
  }

  /** Replaces the seeds after a settings reload. */
  updateSeeds(seeds: readonly InstanceId[]): void {
    this.node.discovery.useSeeds(seeds);
  }

  async stop(): Promise<void> {
    this.state = 'draining';
    this.stopping.abort();
    this.granter.stop();
    this.assigner.stop();
    await this.node.stop();
  }

  private async open(): Promise<void> {
    const {opts, store} = this;
    this.node = await ClusterNode.create(
      {
        ...opts,
        store,
        state: () => this.state,
        maxTargets: 0,
        shouldLink: (peer: KnownInstance) => peer.role === 'state',
        inFlightIntervalMs: () => this.interruptedJobs.inFlightIntervalMs,
        onLinkUp: peer => this.handleLinkUp(peer),
        registersJobs: true,
        onLinkDown: peer => {
          this.interruptedJobs.recordLoss(peer);
          this.registrar.recordLoss(peer);
        },
        onIncarnationChanged: () => undefined,
      },
      async (network, discovery) => {
        this.replica = await this.openReplica(network, discovery);
        return this.replica;
      },
    );
    const {network, membership, discovery} = this.node;
    this.interruptedJobs = InterruptedJobRelay.create({
      clock: opts.clock,
      log: opts.log,
      network,
      entries: () => livePeersOf('entry', membership, network),
    });
    this.registrar = JobRegistrar.create({clock: opts.clock, network});
    this.cancellations = CancellationRelay.create({
      clock: opts.clock,
      network,
      entries: heardWithinMs =>
        membership
          .peersHeardWithin(heardWithinMs)
          .filter(({heartbeat}) => heartbeat.role === 'entry')
          .map(({instanceId}) => instanceId),
    });
    this.targetDirectory = TargetDirectory.create({
      network,
      clock: opts.clock,
      log: opts.log,
      shardOf: (id, dataCentre) => this.assigner.shardOf(id, dataCentre),
      grantOf: shard => store.state.schedulers[shard],
    });
    this.assigner = TargetAssigner.create({
      clock: opts.clock,
      log: opts.log,
      store,
      membership,
      self: opts.cfg.instanceId,
      stateInstances: () => discovery.stateInstances(),
      control: () => this.node.control,
      onAssigned: (targetId, shard) =>
        this.targetDirectory.handleAssigned(targetId, shard),
    });
    this.evacuationOrders = EvacuationOrders.create({
      clock: opts.clock,
      log: opts.log,
      store,
      control: () => this.node.control,
      livePeers: () => membership.livePeers(),
      afterNextReading: () => afterNextReading(opts.clock),
      peerTimeoutMs: opts.cfg.peerTimeoutMs,
    });
    store.onChange((_before, after) => this.evacuations.update(after));
    this.granter = SchedulerGranter.create({
      clock: opts.clock,
      log: opts.log,
      replica: this.replica,
      store,
      membership,
      network,
      control: () => this.node.control,
      heartbeatGraceMs: opts.cfg.peerTimeoutMs,
    });
  }

  /**
   * Tells an instance of cancelled jobs and, unless it is a state instance, of
   * interrupted ones.
   */
  private handleLinkUp(peer: InstanceId): void {
    if (this.node.membership.peer(peer)?.heartbeat.role !== 'state') {
      this.interruptedJobs.recordLink(peer);
    }
    this.cancellations.tellMissed(peer);
  }

  private openReplica(
    network: PeerNetwork,
    discovery: PeerDiscovery,
  ): Promise<Replica> {
    const {opts, store} = this;
    return Replica.create({
      network,
      clock: opts.clock,
      random: opts.random,
      disk: opts.disk,
      log: opts.log,
      get replicaInstances() {
        return discovery.stateInstances();
      },
      electionTimeoutMs: opts.cfg.electionTimeoutMs,
      compactAfterEntries: COMPACT_AFTER_ENTRIES,
      compactAfterBytes: COMPACT_AFTER_BYTES,
      makeReplicaId: () => randomUUID() as ReplicaId,
      apply: (index, command) => store.apply(index, command),
      restore: (index, state) => store.restore(index, state),
      problemOf: command => store.problemOf(command),
      serialize: () => store.serialize(),
      stateIndex: () => store.index,
    });
  }

  private start(): void {
    this.node.start();
    this.granter.start();
    this.assigner.start();
    void this.sweepLoop();
    if (this.opts.isFirstStart) {
      void this.formClusterLoop();
    }
  }

  /**
   * Forms the cluster once all seeds respond with empty disks. Each seed does so
   * in its turn, since one that was restarted meanwhile can't tell the first start
   * from the loss of its disk.
   */
  private async formClusterLoop(): Promise<void> {
    const {cfg, clock, log} = this.opts;
    const seeds = [...cfg.seeds].sort();
    const turn = seeds.indexOf(cfg.instanceId);
    if (turn < 0) {
      return;
    }
    await clock.sleep(turn * FORM_CLUSTER_TURN_MS, this.stopping.signal);
    while (!this.stopping.signal.aborted && this.replica.status().blank) {
      try {
        const replicas = await formCluster(
          this.node.network,
          this.replica,
          seeds,
          [],
        );
        log.emit('logFormed', {...replicas});
        return;
      } catch (err) {
        log.emit('logNotFormed', {reason: (err as Error).message});
      }
      await clock.sleep(FORM_CLUSTER_RETRY_DELAY_MS, this.stopping.signal);
    }
  }

  private async waitUntilApplied(index: number): Promise<void> {
    const {clock} = this.opts;
    const startedMs = clock.now();
    while (this.replica.log.commitIndex < index) {
      if (clock.now() - startedMs > APPLY_TIMEOUT_MS) {
        throw DispatchError.notRun(
          'noQuorum',
          'this replica lags behind the confirmed log index',
        );
      }
      await clock.sleep(APPLY_POLL_INTERVAL_MS);
    }
  }

  private async sweepLoop(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.opts.clock.sleep(SWEEP_INTERVAL_MS, signal);
      this.targetDirectory.sweep();
    }
  }
}
