import {randomUUID} from 'node:crypto';
import {
  Claims,
  ClaimTable,
  ViewMembership,
  ViewReconciler,
} from '@papayarun/claims';
import {
  JobRunner,
  Keeper,
  Router,
  TargetClient,
  TargetDiscovery,
  TargetRegistry,
} from '@papayarun/dispatch';
import {Membership, WsPeerNetwork} from '@papayarun/membership';
import type {
  Announcement,
  BootId,
  DataCentreId,
  Heartbeat,
  InstanceId,
  Outcome,
  ReplicaId,
  Work,
} from '@papayarun/protocol';
import {DispatchError, SeededRandom, SystemClock} from '@papayarun/protocol';
import type {ClaimView} from '@papayarun/releases';
import {ControlStore} from '@papayarun/releases';
import {FolderDisk, Replica} from '@papayarun/replication';
import type {Settings} from '@papayarun/settings';
import {callerRoutes} from '../caller_api/caller_routes.js';
import {ControlClient} from '../control_client/control_client.js';
import {ConfigurationFreshness} from '../configuration_freshness/configuration_freshness.js';
import type {EventLogger} from '../event_logger/event_logger.js';
import {formCluster} from '../form_cluster/form_cluster.js';
import {waitUntilUnused} from '../http/wait_until_unused.js';
import {SegmentPool} from '../growing_buffer/segment_pool.js';
import {checkBearerKey} from '../http/check_bearer_key.js';
import {finishRequests} from '../http/finish_requests.js';
import {HttpApp} from '../http/http_app.js';
import type {HttpLimits} from '../http/http_limits.js';
import {JobService} from '../job_service/job_service.js';
import {IdempotentRequests} from '../idempotent_requests/idempotent_requests.js';
import {LimitMonitor} from '../limit_monitor/limit_monitor.js';
import {Metrics} from '../metrics/metrics.js';
import {operatorRoutes} from '../operator_api/operator_routes.js';
import {TransferBudget} from '../transfer_budget/transfer_budget.js';
import {ReleasePolicy} from '../release_policy/release_policy.js';
import {linkedPeersOf} from '../members/linked_peers_of.js';
import {replicaInstancesOf} from '../members/replica_instances_of.js';
import {gaugesOf} from './gauges_of.js';
import type {InstanceKeys} from './instance_keys.js';
import type {InstanceComponents} from './instance_components.js';
import {statusOf} from './status_of.js';
import {waitForRelease} from './wait_for_release.js';

/** Entries in the release log after which its journal is compacted. */
const COMPACT_AFTER_ENTRIES = 512;
/**
 * Size of the journal beyond its snapshot after which it is compacted, in bytes.
 */
const COMPACT_AFTER_BYTES = 8 * 1024 * 1024;
/** Unsent bytes on a peer link above which it refuses further calls. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
/** Timeout for connecting to a target, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
const BYTES_PER_MIB = 1024 * 1024;
/** Part of the machine's memory that bodies of requests may take: an eighth. */
const MEMORY_PER_BODIES = 8;
/** Largest bodies for which there is memory, however little the machine has. */
const MIN_LARGEST_BODIES = 8;
/** Retry budget: retries allowed for each first attempt. */
const RETRY_RATIO = 0.1;
/** Hedge budget: hedged requests allowed for each first attempt. */
const HEDGE_RATIO = 0.05;
/**
 * Longest wait for a claim to be recorded on all members of the claim view, for
 * example while the view changes, in milliseconds.
 */
const CLAIM_TIMEOUT_MS = 5_000;
/** Longest search for the leader of the release log, in milliseconds. */
const LEADER_TIMEOUT_MS = 5_000;
/** Interval between two sweeps of expired targets and claims, in milliseconds. */
const SWEEP_PERIOD_MS = 200;
/**
 * Heartbeat intervals for which an instance still serves a target after handing
 * it over to another instance.
 */
const HANDOVER_HEARTBEATS = 3;
/** Number of checks for silent links in the time that makes one silent. */
const LINK_CHECKS_PER_TIMEOUT = 4;
/**
 * Largest fraction of the drain timeout in which an instance still listens because
 * requests arrive; the rest is left to finish them.
 */
const LATE_BALANCER_FRACTION = 0.5;
/** Longest wait during a drain for leaving the claim view, in milliseconds. */
const LEAVE_TIMEOUT_MS = 3_000;
/** Interval at which targets are told to announce themselves, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 1_000;

/**
 * Creates, connects and stops the components of one papayarund process.
 */
export class Instance {
  private readonly clock = SystemClock.create();
  private readonly random = SeededRandom.create(randomSeed());
  private readonly metrics = Metrics.create();
  private readonly store = ControlStore.create();
  private readonly policy = ReleasePolicy.create(this.store);
  private readonly stopping = new AbortController();
  private state: Heartbeat['state'] = 'starting';
  private network!: WsPeerNetwork;
  private membership!: Membership;
  private replica: Replica | undefined;
  private disk: FolderDisk | undefined;
  private controlClient!: ControlClient;
  private configurationFreshness!: ConfigurationFreshness;
  private targetDiscovery!: TargetDiscovery;
  private targetRegistry!: TargetRegistry;
  private targetClient!: TargetClient;
  private keeper!: Keeper;
  private router!: Router;
  private claimTable!: ClaimTable;
  private viewMembership!: ViewMembership;
  private claims!: Claims;
  private idempotentRequests!: IdempotentRequests;
  private viewReconciler!: ViewReconciler;
  private jobService!: JobService;
  private callerApp!: HttpApp;
  private operatorApp!: HttpApp;
  private wasCutOff = false;
  private drainPromise: Promise<void> | undefined;

  private constructor(
    private readonly cfg: Settings,
    private readonly keys: InstanceKeys,
    private readonly log: EventLogger,
    private readonly self: InstanceId,
    private readonly dataCentre: DataCentreId,
  ) {}

  /**
   * Creates and starts an instance.
   *
   * @param cfg - Validated settings.
   * @param keys - Keys read from the files that the settings name.
   * @param log - Event log.
   * @returns The instance, listening on all its addresses.
   * @throws JournalCorruptError when the journal of its replica is damaged; Error
   *   when it can't listen on an address.
   * @example
   * const instance = await Instance.create(cfg, keys, log);
   */
  static async create(
    cfg: Settings,
    keys: InstanceKeys,
    log: EventLogger,
  ): Promise<Instance> {
    const self = cfg.instanceId as InstanceId;
    const instance = new Instance(
      cfg,
      keys,
      log,
      self,
      cfg.dataCentre as DataCentreId,
    );
    await instance.openNetwork();
    instance.createMembership();
    await instance.createReplica();
    instance.createControlClient();
    instance.createDispatch();
    instance.createClaims();
    instance.createViewReconciler();
    instance.createJobService();
    await instance.listen();
    instance.start();
    return instance;
  }

  /**
   * Takes no new callers, finishes the work in progress and stops the instance.
   *
   * @description The instance listens until no caller has sent a request for
   * `timing.drainDelayMs`, for at most half of `timing.drainTimeoutMs` longer than
   * that. Work that is still in progress after the sum of both is aborted. Further
   * calls return the promise of the first one.
   * @returns A promise that resolves when all components are closed.
   * @example
   * await instance.drain();
   */
  async drain(): Promise<void> {
    this.drainPromise ??= this.drainAndStop();
    return this.drainPromise;
  }

  private async openNetwork(): Promise<void> {
    const {peers, limits, timing} = this.cfg;
    const peerLimits = LimitMonitor.create(this.clock, this.log, this.metrics);
    this.network = await WsPeerNetwork.create(
      {
        self: this.self,
        key: this.keys.peer,
        peers: linkedPeersOf(this.cfg),
        clock: this.clock,
        random: this.random,
        maxFrameBytes: limits.peerFrameBytes,
        maxBufferedBytes: MAX_BUFFERED_BYTES,
        linkTimeoutMs: () => timing.peerTimeoutMs,
        linkCheckMs: timing.peerTimeoutMs / LINK_CHECKS_PER_TIMEOUT,
        observer: {
          linkUp: peer => this.log.emit('linkUp', {peer}),
          linkDown: (peer, reason, silentMs) => {
            const roundedMs = Math.round(silentMs);
            this.log.emit('linkDown', {peer, silentMs: roundedMs, reason});
            this.router.cancelWorkOfPeer(peer);
          },
          linkRefused: reason => this.log.emit('linkRefused', {reason}),
          unknownClientClosed: () => peerLimits.record('peerRefused'),
          sent: (type, bytes) => this.metrics.countMessage(type, bytes),
        },
      },
      peers,
    );
  }

  private createMembership(): void {
    const {timing} = this.cfg;
    this.membership = Membership.create({
      self: this.self,
      dataCentre: this.dataCentre,
      boot: randomUUID() as BootId,
      network: this.network,
      clock: this.clock,
      heartbeatMs: timing.heartbeatMs,
      timeoutMs: timing.peerTimeoutMs,
      ownState: () => this.state,
      heartbeatFields: () => ({
        role: 'all',
        state: this.state,
        stateIndex: this.store.index,
        currentAgeMs: Math.min(
          this.configurationFreshness.ageMs(),
          Number.MAX_SAFE_INTEGER,
        ),
        digest: this.router.digest(),
      }),
      onHeartbeat: (from, heartbeat) => this.onHeartbeat(from, heartbeat),
      onChange: (peer, alive) => {
        this.log.emit(alive ? 'peerAlive' : 'peerDead', {peer});
      },
      onLiveInDataCentreChange: () => {
        this.targetDiscovery.restart();
        this.targetRegistry.sweep();
        this.membership.sendHeartbeat();
      },
      onProcessPaused: pausedMs => {
        this.log.emit('paused', {pausedMs: Math.round(pausedMs)});
        this.startNewIncarnation();
      },
    });
  }

  private async createReplica(): Promise<void> {
    if (this.cfg.dataDir === undefined) {
      this.network.onCall('replicaStatus', () =>
        Promise.resolve({
          blank: true,
          voter: false,
          role: 'none',
          term: 0,
          commitIndex: 0,
          stateIndex: this.store.index,
        }),
      );
      return;
    }
    this.disk = await FolderDisk.create(this.cfg.dataDir);
    this.replica = await Replica.create({
      network: this.network,
      clock: this.clock,
      random: this.random,
      disk: this.disk,
      log: this.log,
      replicaInstances: replicaInstancesOf(this.cfg),
      electionTimeoutMs: this.cfg.timing.electionTimeoutMs,
      compactAfterEntries: COMPACT_AFTER_ENTRIES,
      compactAfterBytes: COMPACT_AFTER_BYTES,
      makeReplicaId: () => randomUUID() as ReplicaId,
      apply: (index, command) => this.store.apply(index, command),
      restore: (index, state) => this.store.restore(index, state),
      problemOf: command => this.store.problemOf(command),
      serialize: () => this.store.serialize(),
      stateIndex: () => this.store.index,
    });
  }

  private createControlClient(): void {
    this.configurationFreshness = ConfigurationFreshness.create(
      this.clock,
      () => this.replica?.currentAgeMs() ?? Infinity,
    );
    this.controlClient = ControlClient.create({
      network: this.network,
      clock: this.clock,
      store: this.store,
      replica: this.replica,
      replicaInstances: replicaInstancesOf(this.cfg),
      leaderTimeoutMs: LEADER_TIMEOUT_MS,
    });
    this.store.onChange((before, after) => {
      if (before.release !== after.release) {
        this.log.emit('releaseInForce', {release: after.release});
      }
      const view = after.views[this.dataCentre];
      if (view !== before.views[this.dataCentre]) {
        this.log.emit('viewChanged', {view});
        void this.viewMembership.syncClaims();
      }
      this.membership.sendHeartbeat();
    });
  }

  private createDispatch(): void {
    const {clock, random, policy, log, cfg} = this;
    this.targetDiscovery = TargetDiscovery.create(
      clock,
      cfg.timing.targetDiscoveryMs,
    );
    this.targetRegistry = TargetRegistry.create({
      self: this.self,
      clock,
      timeoutMs: cfg.timing.targetTimeoutMs,
      handoverMs: HANDOVER_HEARTBEATS * cfg.timing.heartbeatMs,
      liveInstances: () => this.membership.liveInDataCentre(),
      isDraining: () => this.state === 'draining',
      forwardAnnouncement: (keeper, announcement) =>
        this.network.notify(keeper, 'announcement', announcement),
    });
    this.targetRegistry.onChange(record => {
      if (record.kept && record.announcement.state === 'ready') {
        this.targetDiscovery.targetFound(record.announcement.service);
      }
    });
    this.targetClient = TargetClient.create({
      clock,
      maxAnswerBytes: cfg.limits.answerBodyBytes,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      taskLeaseMs: cfg.timing.taskLeaseMs,
    });
    this.keeper = Keeper.create({
      clock,
      random,
      policy,
      log,
      registry: this.targetRegistry,
      client: this.targetClient,
      maxWaiting: cfg.limits.queuedRequests,
      retryRatio: RETRY_RATIO,
      hedgeRatio: HEDGE_RATIO,
    });
    this.router = Router.create({
      dataCentre: this.dataCentre,
      network: this.network,
      membership: this.membership,
      keeper: this.keeper,
      policy,
      clock,
      log,
      discovery: this.targetDiscovery,
      retryRatio: RETRY_RATIO,
      isCutOff: () => this.isCutOff(),
      runEntry: (work, signal) => this.idempotentRequests.run(work, signal),
    });
    this.network.onNotice('announcement', (_from, announcement) => {
      this.targetRegistry.accept(announcement);
    });
  }

  private createClaims(): void {
    const {network, membership, clock, log, cfg} = this;
    const {claimWindowMs, clockSkewMs} = cfg.timing;
    const view = (): ClaimView | undefined => this.claimView();
    this.claimTable = ClaimTable.create(
      log,
      cfg.limits.claims,
      cfg.limits.keptAnswerBytes,
      claimWindowMs + 2 * clockSkewMs,
    );
    this.viewMembership = ViewMembership.create({
      network,
      table: this.claimTable,
      log,
      boot: () => membership.boot,
      view,
      maxFrameBytes: cfg.limits.peerFrameBytes,
    });
    this.claims = Claims.create({
      dataCentre: this.dataCentre,
      network,
      membership,
      clock,
      log,
      table: this.claimTable,
      viewMembership: this.viewMembership,
      view,
      claimWindowMs,
      clockSkewMs,
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
      makeClaimId: () => randomUUID(),
    });
    this.idempotentRequests = IdempotentRequests.create({
      dataCentre: this.dataCentre,
      claims: this.claims,
      router: this.router,
      isKnownDataCentre: dataCentre => this.isConfiguredDataCentre(dataCentre),
      pickReadyInstance: dataCentre => this.pickReadyInstance(dataCentre),
      stopSignal: this.stopping.signal,
    });
  }

  private createViewReconciler(): void {
    const {clock, log, membership, cfg} = this;
    this.viewReconciler = ViewReconciler.create({
      self: this.self,
      dataCentre: this.dataCentre,
      clock,
      log,
      membership,
      viewMembership: this.viewMembership,
      periodMs: cfg.timing.heartbeatMs,
      view: () => this.claimView(),
      stateIndex: () => this.store.index,
      propose: command =>
        this.controlClient.propose(command).catch(() => undefined),
      startNewIncarnation: () => this.startNewIncarnation(),
      isStateRecent: () => this.state !== 'starting' && !this.isCutOff(),
    });
  }

  private createJobService(): void {
    const {clock, log, network} = this;
    const runner = JobRunner.create({
      clock,
      log,
      digest: () => this.router.digest(),
      discovery: this.targetDiscovery,
      release: () => this.policy.release(),
      route: (work, signal) => this.router.route(work, signal, {spill: false}),
    });
    this.jobService = JobService.create({
      dataCentre: this.dataCentre,
      network,
      claims: this.claims,
      runner,
      pickReadyInstance: dataCentre => this.pickReadyInstance(dataCentre),
    });
  }

  private async listen(): Promise<void> {
    const limits = this.createHttpLimits();
    this.callerApp = await this.listenForCallers(limits);
    this.operatorApp = await this.listenForOperators(limits);
  }

  private createHttpLimits(): HttpLimits {
    const {limits} = this.cfg;
    const monitor = LimitMonitor.create(this.clock, this.log, this.metrics);
    const bytes = Math.max(
      (limits.memoryMb * BYTES_PER_MIB) / MEMORY_PER_BODIES,
      limits.requestBodyBytes * MIN_LARGEST_BODIES,
    );
    return {
      budget: TransferBudget.create(bytes, () => this.clock.now()),
      pool: SegmentPool.create(bytes),
      onLimit: limit => monitor.record(limit),
    };
  }

  private listenForCallers(limits: HttpLimits): Promise<HttpApp> {
    const {cfg, log} = this;
    return HttpApp.create(
      {
        log,
        routes: callerRoutes({
          dataCentre: this.dataCentre,
          clock: this.clock,
          policy: this.policy,
          defaultDeadlineMs: cfg.timing.defaultDeadlineMs,
          maxJobTasks: cfg.limits.jobTasks,
          announceIntervalMs: ANNOUNCE_INTERVAL_MS,
          state: () => this.store.state,
          isReady: () => this.state === 'ready' || this.state === 'draining',
          acceptsNewConnections: () => this.state === 'ready',
          generation: () =>
            this.store.state.views[this.dataCentre]?.generation ?? 0,
          runRepeatable: (work, signal) =>
            this.runWithMetrics(work, () =>
              this.router.route(work, signal, {spill: true}),
            ),
          runIdempotent: (work, signal) =>
            this.runWithMetrics(work, () =>
              this.idempotentRequests.run(work, signal),
            ),
          runJobCommand: command => this.jobService.run(command),
          announce: announcement => this.deliverAnnouncement(announcement),
          setPreferences: (customer, choices) =>
            this.controlClient.propose({
              kind: 'setPreferences',
              customer,
              choices,
            }),
        }),
        maxBodyBytes: cfg.limits.requestBodyBytes,
        maxConnections: cfg.limits.callerConnections,
        limits,
        commonHeaders: () => this.commonHeaders(),
        guard: (req, path) => {
          const key = this.keys.announce;
          return key !== undefined && path === '/v1/targets'
            ? checkBearerKey(req, key)
            : undefined;
        },
      },
      cfg.callers,
    );
  }

  private listenForOperators(limits: HttpLimits): Promise<HttpApp> {
    const {cfg, log} = this;
    return HttpApp.create(
      {
        log,
        routes: operatorRoutes({
          self: this.self,
          dataCentre: this.dataCentre,
          clock: this.clock,
          log,
          store: this.store,
          membership: this.membership,
          registry: this.targetRegistry,
          keeper: this.keeper,
          metrics: this.metrics,
          status: () => statusOf(this.components()),
          propose: command => this.controlClient.propose(command),
          formCluster: () =>
            formCluster(
              this.network,
              this.replica,
              replicaInstancesOf(this.cfg),
              linkedPeersOf(this.cfg)
                .filter(peer => !peer.replica)
                .map(peer => peer.instanceId),
            ),
          drain: () => void this.drain(),
        }),
        maxBodyBytes: cfg.limits.requestBodyBytes,
        maxConnections: cfg.limits.callerConnections,
        limits,
        commonHeaders: () => this.commonHeaders(),
        guard: req => checkBearerKey(req, this.keys.operator),
      },
      cfg.operators,
    );
  }

  private start(): void {
    this.metrics.addGauges(() => gaugesOf(this.components()));
    this.network.start();
    this.membership.start();
    this.replica?.start();
    this.viewReconciler.start();
    void this.sweepLoop();
    void this.becomeReady();
    this.log.emit('started', {
      dataCentre: this.dataCentre,
      boot: this.membership.boot,
      callersPort: this.callerApp.port,
      operatorsPort: this.operatorApp.port,
      peersPort: this.network.port,
      release: this.policy.release(),
    });
  }

  private onHeartbeat(from: InstanceId, heartbeat: Heartbeat): void {
    this.router.updatePeerDigest(from, heartbeat.digest);
    if (heartbeat.stateIndex <= this.store.index) {
      this.configurationFreshness.recordConfirmation(heartbeat.currentAgeMs);
    }
    void this.controlClient.pullMissingState(from, heartbeat);
  }

  /** Runs work and records its verdict and duration in the metrics. */
  private async runWithMetrics(
    work: Work,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const startedMs = this.clock.now();
    const outcome = await run();
    const verdict =
      outcome.kind === 'answered' ? 'ran' : outcome.refusal.verdict.kind;
    this.metrics.recordRequest(
      work.kind,
      verdict,
      this.clock.now() - startedMs,
    );
    return outcome;
  }

  /** Passes an announcement to the instances responsible for its target. */
  private deliverAnnouncement(announcement: Announcement): void {
    for (const keeper of this.targetRegistry.keepersOf(announcement.targetId)) {
      if (keeper === this.self) {
        this.targetRegistry.accept(announcement);
      } else {
        this.network.notify(keeper, 'announcement', announcement);
      }
    }
  }

  /** Starts a new incarnation, which gives up the claims of the former one. */
  private startNewIncarnation(): void {
    this.viewMembership.reset();
    this.claimTable.clear();
    this.membership.startNewIncarnation(randomUUID() as BootId);
  }

  /** Picks a random live instance of a data centre that is ready for work. */
  private pickReadyInstance(dataCentre: DataCentreId): InstanceId | undefined {
    const candidates = this.membership
      .livePeers()
      .filter(
        peer =>
          peer.heartbeat.dataCentre === dataCentre &&
          peer.heartbeat.state === 'ready',
      );
    const index = Math.floor(this.random.next() * candidates.length);
    return candidates[index]?.instanceId;
  }

  /** Whether the settings name a member in a data centre. */
  private isConfiguredDataCentre(dataCentre: DataCentreId): boolean {
    return this.cfg.peers.members.some(
      member => member.dataCentre === dataCentre,
    );
  }

  private claimView(): ClaimView | undefined {
    return this.store.state.views[this.dataCentre];
  }

  /**
   * Whether the configuration was not confirmed as the latest one for longer
   * than `timing.cutOffAfterMs`.
   */
  private isCutOff(): boolean {
    return this.configurationFreshness.ageMs() > this.cfg.timing.cutOffAfterMs;
  }

  /** Waits for the release in force, then sets the state to ready. */
  private async becomeReady(): Promise<void> {
    const {cutOffAfterMs, peerTimeoutMs} = this.cfg.timing;
    const isConfirmed = await waitForRelease({
      clock: this.clock,
      control: this.controlClient,
      store: this.store,
      fallbackAfterMs: cutOffAfterMs + peerTimeoutMs,
      stopSignal: this.stopping.signal,
    });
    if (isConfirmed === undefined || this.state !== 'starting') {
      return;
    }
    this.state = 'ready';
    this.membership.invalidateLiveInstances();
    this.log.emit('ready', {
      release: this.policy.release(),
      current: isConfirmed,
    });
  }

  /** Drops expired targets and claims and logs changes of the cut-off state. */
  private async sweepLoop(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.clock.sleep(SWEEP_PERIOD_MS, this.stopping.signal);
      this.targetRegistry.sweep();
      this.claimTable.sweep(this.clock.wallNow());
      const isCutOff = this.state === 'ready' && this.isCutOff();
      if (isCutOff !== this.wasCutOff) {
        this.wasCutOff = isCutOff;
        this.log.emit(isCutOff ? 'cutOff' : 'current', {
          release: this.policy.release(),
        });
      }
    }
  }

  private async drainAndStop(): Promise<void> {
    const {drainDelayMs, drainTimeoutMs} = this.cfg.timing;
    this.log.emit('draining', {inProgress: this.callerApp.inProgress});
    this.state = 'draining';
    this.membership.invalidateLiveInstances();
    this.callerApp.disableKeepAlive();
    const {clock, callerApp: app} = this;
    const untilMs = clock.now() + drainDelayMs + drainTimeoutMs;
    await waitUntilUnused({
      clock,
      app,
      unusedMs: drainDelayMs,
      limitMs: drainDelayMs + drainTimeoutMs * LATE_BALANCER_FRACTION,
    });
    await app.stopListening();
    await finishRequests({
      clock,
      app,
      inProgress: () => this.countInProgress(),
      untilMs,
    });
    await this.viewReconciler.leave(LEAVE_TIMEOUT_MS);
    const unfinished = this.countInProgress();
    await this.stop();
    this.log.emit('stopped', {left: unfinished});
  }

  /**
   * Counts requests of callers, work of other instances and claimed work that
   * are still in progress here.
   */
  private countInProgress(): number {
    return (
      this.callerApp.inProgress +
      this.router.inProgressForPeers +
      this.claims.runningCount
    );
  }

  private async stop(): Promise<void> {
    this.stopping.abort(
      DispatchError.notRun('draining', 'the instance is shutting down'),
    );
    this.viewReconciler.stop();
    this.membership.stop();
    await this.replica?.stop();
    this.callerApp.closeAll();
    this.operatorApp.closeAll();
    this.targetClient.close();
    await this.network.stop();
    await this.disk?.close();
  }

  private commonHeaders(): Record<string, string> {
    return {
      'papayarun-instance': this.self,
      'papayarun-release': String(this.policy.release()),
      'papayarun-release-current': String(!this.isCutOff()),
    };
  }

  private components(): InstanceComponents {
    return {
      self: this.self,
      dataCentre: this.dataCentre,
      state: this.state,
      isCutOff: this.isCutOff(),
      network: this.network,
      membership: this.membership,
      store: this.store,
      replica: this.replica,
      keeper: this.keeper,
      router: this.router,
      claimTable: this.claimTable,
      viewMembership: this.viewMembership,
      callerApp: this.callerApp,
    };
  }
}

/** Returns a random 32-bit integer, taken from a UUID. */
function randomSeed(): number {
  return parseInt(randomUUID().slice(0, 8), 16) | 0;
}
