import {randomUUID} from 'node:crypto';
import type {
  DataCentreId,
  Heartbeat,
  InstanceId,
  KnownInstance,
  ReplicaId,
  TargetReport,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {AcceptedConfiguration} from '@papayarun/releases';
import {ControlStore} from '@papayarun/releases';
import {Replica} from '@papayarun/replication';
import {ClusterNode} from '../cluster_node/cluster_node.js';
import {formCluster} from '../form_cluster/form_cluster.js';
import {SchedulerGranter} from './scheduler_granter.js';
import type {StateInstanceOptions} from './state_instance_options.js';
import {TargetDirectory} from './target_directory.js';

const COMPACT_AFTER_ENTRIES = 512;
/** Pause between tries to form the log at the first start, in ms. */
const FORM_RETRY_MS = 50;
/** Period of the sweep over the directory, in milliseconds. */
const SWEEP_PERIOD_MS = 1_000;
/** Longest wait until a confirmed index has been applied here, in ms. */
const APPLY_TIMEOUT_MS = 500;
const APPLY_POLL_MS = 2;

/**
 * An instance with a disk: replica of the log, operators' configurations,
 * announcements of targets, grants of schedulers.
 */
export class StateInstance {
  private readonly store = ControlStore.create();
  private readonly stopping = new AbortController();
  private state: Heartbeat['state'] = 'ready';
  private node!: ClusterNode;
  private replica!: Replica;
  private granter!: SchedulerGranter;
  directory!: TargetDirectory;

  private constructor(private readonly opts: StateInstanceOptions) {}

  /**
   * Opens the journal and the listener for peers.
   *
   * @param opts - Settings, disk, clock and log.
   * @returns The instance, running.
   * @throws JournalCorruptError when its journal is damaged; Error when the
   *   address can't be used.
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

  /**
   * Puts a whole configuration in force.
   *
   * @param revision - Its revision; the highest one is in force.
   * @param content - The configuration, already checked.
   * @returns Revision in force afterwards.
   * @throws DispatchError when it is not known whether it was accepted, or it
   *   certainly was not.
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
      throw DispatchError.mayHaveRun('internal', 'unexpected result');
    }
    log.emit('configurationDecided', {
      revision,
      changed: result.changed,
      inForce: result.revision,
    });
    return result.revision;
  }

  /**
   * The newest accepted configuration, confirmed by the leader's majority.
   *
   * @returns The configuration, or undefined before the first one.
   * @throws DispatchError `notRun` when nobody can be sure which is newest.
   */
  async readConfiguration(): Promise<AcceptedConfiguration | undefined> {
    const index = await this.node.control.readIndex();
    if (index === undefined) {
      throw DispatchError.notRun('noQuorum', 'no leader could be confirmed');
    }
    await this.applied(index);
    return this.store.state.configuration;
  }

  /**
   * Takes in what a target says of itself.
   *
   * @param report - The report.
   * @returns Whether it may be acknowledged.
   */
  acceptReport(report: TargetReport): Promise<boolean> {
    return this.directory.accept(report);
  }

  /** Gauges for the metrics. */
  gauges(): Record<string, number> {
    return {
      leader: Number(this.replica.isLeader),
      log_term: this.replica.log.term,
      commit_index: this.replica.log.commitIndex,
      known_targets: this.directory.size,
      configuration_revision: this.store.state.configuration?.revision ?? 0,
    };
  }

  /** Takes other seeds, after the settings have changed. */
  useSeeds(seeds: readonly InstanceId[]): void {
    this.node.roster.useSeeds(seeds);
  }

  /** Ends the instance. */
  async stop(): Promise<void> {
    this.state = 'draining';
    this.stopping.abort();
    this.granter.stop();
    await this.node.stop();
  }

  private async open(): Promise<void> {
    const {opts, store} = this;
    this.node = await ClusterNode.create({
      ...opts,
      store,
      state: () => this.state,
      wants: (known: KnownInstance) => known.role === 'state',
      onLinkDown: () => undefined,
      onRenewed: () => undefined,
    });
    const {network, membership, roster} = this.node;
    this.replica = await Replica.create({
      network,
      clock: opts.clock,
      random: opts.random,
      disk: opts.disk,
      log: opts.log,
      get replicaInstances() {
        return roster.stateInstances();
      },
      electionTimeoutMs: opts.cfg.electionTimeoutMs,
      compactAfter: COMPACT_AFTER_ENTRIES,
      makeReplicaId: () => randomUUID() as ReplicaId,
      apply: (index, command) => store.apply(index, command),
      restore: (index, state) => store.restore(index, state),
      serialize: () => store.serialize(),
      stateIndex: () => store.index,
    });
    this.node.replica = this.replica;
    this.directory = TargetDirectory.create({
      network,
      clock: opts.clock,
      log: opts.log,
      schedulerOf: (dataCentre: DataCentreId) =>
        store.state.schedulers[dataCentre]?.instanceId,
    });
    this.granter = SchedulerGranter.create({
      clock: opts.clock,
      log: opts.log,
      replica: this.replica,
      store,
      membership,
      control: () => this.node.control,
      settleMs: opts.cfg.peerTimeoutMs,
    });
  }

  private start(): void {
    this.node.start();
    this.granter.start();
    void this.sweepLoop();
    if (this.opts.isFirstStart) {
      void this.formLoop();
    }
  }

  /** Forms the log once all seeds answer with empty disks. */
  private async formLoop(): Promise<void> {
    const {cfg, clock, log} = this.opts;
    const seeds = [...cfg.seeds].sort();
    if (seeds[0] !== cfg.instanceId) {
      return;
    }
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
      await clock.sleep(FORM_RETRY_MS, this.stopping.signal);
    }
  }

  private async applied(index: number): Promise<void> {
    const {clock} = this.opts;
    const startedMs = clock.now();
    while (this.replica.log.commitIndex < index) {
      if (clock.now() - startedMs > APPLY_TIMEOUT_MS) {
        throw DispatchError.notRun('noQuorum', 'this replica lags behind');
      }
      await clock.sleep(APPLY_POLL_MS);
    }
  }

  private async sweepLoop(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.opts.clock.sleep(SWEEP_PERIOD_MS, signal);
      this.directory.sweep();
    }
  }
}
