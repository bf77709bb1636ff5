import {randomUUID} from 'node:crypto';
import {Claims, ClaimTable, Seat, ViewKeeper} from '@papayarun/claims';
import {
  JobRunner,
  Keeper,
  Router,
  TargetClient,
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
import {Currency} from '../currency/currency.js';
import type {EventLogger} from '../event_logger/event_logger.js';
import {formCluster} from '../form_cluster/form_cluster.js';
import {bearerGuard} from '../http/bearer_guard.js';
import {HttpApp} from '../http/http_app.js';
import {JobService} from '../job_service/job_service.js';
import {KeyedRequests} from '../keyed_requests/keyed_requests.js';
import {Metrics} from '../metrics/metrics.js';
import {operatorRoutes} from '../operator_api/operator_routes.js';
import {ReleasePolicy} from '../release_policy/release_policy.js';
import {linkedPeersOf} from '../members/linked_peers_of.js';
import {replicaInstancesOf} from '../members/replica_instances_of.js';
import {gaugesOf} from './gauges_of.js';
import type {InstanceKeys} from './instance_keys.js';
import type {InstanceParts} from './instance_parts.js';
import {statusOf} from './status_of.js';
import {waitForRelease} from './wait_for_release.js';

const COMPACT_AFTER_ENTRIES = 512;
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1_000;
const RETRY_RATIO = 0.1;
const HEDGE_RATIO = 0.05;
const CLAIM_TIMEOUT_MS = 5_000;
const LEADER_TIMEOUT_MS = 5_000;
const SWEEP_PERIOD_MS = 200;
/** Heartbeats for which a former keeper goes on after a handover. */
const HANDOVER_HEARTBEATS = 3;
const DRAIN_POLL_MS = 20;
const LEAVE_TIMEOUT_MS = 3_000;
const ANNOUNCE_INTERVAL_MS = 1_000;

/**
 * One papayarund process: all components, put together.
 */
export class Instance {
  private readonly clock = SystemClock.create();
  private readonly random = SeededRandom.create(fromUuid());
  private readonly metrics = Metrics.create();
  private readonly store = ControlStore.create();
  private readonly policy = ReleasePolicy.create(this.store);
  private readonly stopping = new AbortController();
  private state: Heartbeat['state'] = 'starting';
  private network!: WsPeerNetwork;
  private membership!: Membership;
  private replica: Replica | undefined;
  private disk: FolderDisk | undefined;
  private control!: ControlClient;
  private currency!: Currency;
  private registry!: TargetRegistry;
  private client!: TargetClient;
  private keeper!: Keeper;
  private router!: Router;
  private table!: ClaimTable;
  private seat!: Seat;
  private claims!: Claims;
  private keyed!: KeyedRequests;
  private viewKeeper!: ViewKeeper;
  private jobs!: JobService;
  private callers!: HttpApp;
  private operators!: HttpApp;
  private wasCutOff = false;
  private ended: Promise<void> | undefined;

  private constructor(
    private readonly cfg: Settings,
    private readonly keys: InstanceKeys,
    private readonly log: EventLogger,
    private readonly self: InstanceId,
    private readonly dataCentre: DataCentreId,
  ) {}

  /**
   * Starts an instance.
   *
   * @param cfg - Checked settings.
   * @param keys - Keys read from the files that the settings name.
   * @param log - Event log.
   * @returns The instance, listening.
   * @throws JournalCorruptError when its journal is damaged; Error when an
   *   address can't be used.
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
    instance.createControl();
    instance.createDispatch();
    instance.createClaims();
    instance.createViewKeeper();
    instance.createJobs();
    await instance.listen();
    instance.start();
    return instance;
  }

  /** Resolves when a drain has ended and everything is closed. */
  async drain(): Promise<void> {
    this.ended ??= this.drainAndStop();
    return this.ended;
  }

  private async openNetwork(): Promise<void> {
    const {peers, limits, timing} = this.cfg;
    this.network = await WsPeerNetwork.create(
      {
        self: this.self,
        key: this.keys.peer,
        peers: linkedPeersOf(this.cfg),
        clock: this.clock,
        random: this.random,
        maxFrameBytes: limits.peerFrameBytes,
        maxBufferedBytes: MAX_BUFFERED_BYTES,
        silenceMs: timing.peerTimeoutMs,
        observer: {
          linkUp: peer => this.log.emit('linkUp', {peer}),
          linkDown: (peer, reason) => {
            this.log.emit('linkDown', {peer, reason});
            this.router.peerLost(peer);
          },
          linkRefused: reason => this.log.emit('linkRefused', {reason}),
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
      describe: () => ({
        role: 'all',
        state: this.state,
        stateIndex: this.store.index,
        currentAgeMs: Math.min(this.currency.ageMs(), Number.MAX_SAFE_INTEGER),
        digest: this.router.digest(),
      }),
      onHeartbeat: (from, heartbeat) => this.onHeartbeat(from, heartbeat),
      onChange: (peer, alive) => {
        this.log.emit(alive ? 'peerAlive' : 'peerDead', {peer});
      },
      onLiveHere: () => {
        this.registry.sweep();
        this.membership.beat();
      },
      onPause: pausedMs => {
        this.log.emit('paused', {pausedMs: Math.round(pausedMs)});
        this.renew();
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
      compactAfter: COMPACT_AFTER_ENTRIES,
      makeReplicaId: () => randomUUID() as ReplicaId,
      apply: (index, command) => this.store.apply(index, command),
      restore: (index, state) => this.store.restore(index, state),
      serialize: () => this.store.serialize(),
      stateIndex: () => this.store.index,
    });
  }

  private createControl(): void {
    this.currency = Currency.create(
      this.clock,
      () => this.replica?.currentAgeMs() ?? Infinity,
    );
    this.control = ControlClient.create({
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
        void this.seat.join();
      }
      this.membership.beat();
    });
  }

  private createDispatch(): void {
    const {clock, random, policy, log, cfg} = this;
    this.registry = TargetRegistry.create({
      self: this.self,
      clock,
      timeoutMs: cfg.timing.targetTimeoutMs,
      handoverMs: HANDOVER_HEARTBEATS * cfg.timing.heartbeatMs,
      live: () => this.membership.liveHere(),
      isDraining: () => this.state === 'draining',
      sendTo: (keeper, announcement) =>
        this.network.notify(keeper, 'announcement', announcement),
    });
    this.client = TargetClient.create({
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
      registry: this.registry,
      client: this.client,
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
      retryRatio: RETRY_RATIO,
      isCutOff: () => this.isCutOff(),
      runEntry: (work, signal) => this.keyed.run(work, signal),
    });
    this.network.onNotice('announcement', (_from, announcement) => {
      this.registry.accept(announcement);
    });
  }

  private createClaims(): void {
    const {network, membership, clock, log, cfg} = this;
    const {claimWindowMs, clockSkewMs} = cfg.timing;
    const view = (): ClaimView | undefined => this.view();
    this.table = ClaimTable.create(
      cfg.limits.claims,
      cfg.limits.keptAnswerBytes,
      claimWindowMs + 2 * clockSkewMs,
    );
    this.seat = Seat.create({
      network,
      table: this.table,
      log,
      boot: () => membership.boot,
      view,
    });
    this.claims = Claims.create({
      dataCentre: this.dataCentre,
      network,
      membership,
      clock,
      log,
      table: this.table,
      seat: this.seat,
      view,
      windowMs: claimWindowMs,
      clockSkewMs,
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
      makeClaimId: () => randomUUID(),
    });
    this.keyed = KeyedRequests.create({
      dataCentre: this.dataCentre,
      claims: this.claims,
      router: this.router,
      isDataCentre: dataCentre => this.isMemberDataCentre(dataCentre),
      instanceIn: dataCentre => this.instanceIn(dataCentre),
      ending: this.stopping.signal,
    });
  }

  private createViewKeeper(): void {
    const {clock, log, membership, cfg} = this;
    this.viewKeeper = ViewKeeper.create({
      self: this.self,
      dataCentre: this.dataCentre,
      clock,
      log,
      membership,
      seat: this.seat,
      periodMs: cfg.timing.heartbeatMs,
      view: () => this.view(),
      propose: command => this.control.propose(command).catch(() => undefined),
      renew: () => this.renew(),
      isCurrent: () => this.state !== 'starting' && !this.isCutOff(),
    });
  }

  private createJobs(): void {
    const {clock, log, network} = this;
    const runner = JobRunner.create({
      clock,
      log,
      digest: () => this.router.digest(),
      release: () => this.policy.release(),
      route: (work, signal) => this.router.route(work, signal, {spill: false}),
    });
    this.jobs = JobService.create({
      dataCentre: this.dataCentre,
      network,
      claims: this.claims,
      runner,
      instanceIn: dataCentre => this.instanceIn(dataCentre),
    });
  }

  private async listen(): Promise<void> {
    this.callers = await this.listenForCallers();
    this.operators = await this.listenForOperators();
  }

  private listenForCallers(): Promise<HttpApp> {
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
          isInBalance: () => this.state === 'ready',
          generation: () =>
            this.store.state.views[this.dataCentre]?.generation ?? 0,
          runRepeatable: (work, signal) =>
            this.counted(work, () =>
              this.router.route(work, signal, {spill: true}),
            ),
          runOnce: (work, signal) =>
            this.counted(work, () => this.keyed.run(work, signal)),
          job: command => this.jobs.run(command),
          announce: announcement => this.announce(announcement),
          setPreferences: (customer, choices) =>
            this.control.propose({kind: 'setPreferences', customer, choices}),
        }),
        maxBodyBytes: cfg.limits.requestBodyBytes,
        maxConnections: cfg.limits.callerConnections,
        commonHeaders: () => this.commonHeaders(),
        guard: (req, path) => {
          const key = this.keys.announce;
          return key !== undefined && path === '/v1/targets'
            ? bearerGuard(req, key)
            : undefined;
        },
      },
      cfg.callers,
    );
  }

  private listenForOperators(): Promise<HttpApp> {
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
          registry: this.registry,
          keeper: this.keeper,
          metrics: this.metrics,
          status: () => statusOf(this.parts()),
          propose: command => this.control.propose(command),
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
        commonHeaders: () => this.commonHeaders(),
        guard: req => bearerGuard(req, this.keys.operator),
      },
      cfg.operators,
    );
  }

  private start(): void {
    this.metrics.addGauges(() => gaugesOf(this.parts()));
    this.network.start();
    this.membership.start();
    this.replica?.start();
    this.viewKeeper.start();
    void this.sweepLoop();
    void this.becomeReady();
    this.log.emit('started', {
      dataCentre: this.dataCentre,
      boot: this.membership.boot,
      callersPort: this.callers.port,
      operatorsPort: this.operators.port,
      peersPort: this.network.port,
      release: this.policy.release(),
    });
  }

  private onHeartbeat(from: InstanceId, heartbeat: Heartbeat): void {
    this.router.learn(from, heartbeat.digest);
    if (heartbeat.stateIndex <= this.store.index) {
      this.currency.confirm(heartbeat.currentAgeMs);
    }
    void this.control.learn(from, heartbeat);
  }

  private async counted(
    work: Work,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const startedMs = this.clock.now();
    const outcome = await run();
    const verdict =
      outcome.kind === 'answered' ? 'ran' : outcome.refusal.verdict.kind;
    this.metrics.countRequest(work.kind, verdict, this.clock.now() - startedMs);
    return outcome;
  }

  private announce(announcement: Announcement): void {
    for (const keeper of this.registry.keepersOf(announcement.targetId)) {
      if (keeper === this.self) {
        this.registry.accept(announcement);
      } else {
        this.network.notify(keeper, 'announcement', announcement);
      }
    }
  }

  /** Becomes another incarnation: its old claims are no longer its own. */
  private renew(): void {
    this.seat.reset();
    this.table.clear();
    this.membership.renew(randomUUID() as BootId);
  }

  private instanceIn(dataCentre: DataCentreId): InstanceId | undefined {
    const there = this.membership
      .livePeers()
      .filter(
        p =>
          p.heartbeat.dataCentre === dataCentre &&
          p.heartbeat.state === 'ready',
      );
    const at = Math.floor(this.random.next() * there.length);
    return there[at]?.instanceId;
  }

  private isMemberDataCentre(dataCentre: DataCentreId): boolean {
    return this.cfg.peers.members.some(m => m.dataCentre === dataCentre);
  }

  private view(): ClaimView | undefined {
    return this.store.state.views[this.dataCentre];
  }

  private isCutOff(): boolean {
    return this.currency.ageMs() > this.cfg.timing.cutOffAfterMs;
  }

  private async becomeReady(): Promise<void> {
    const {cutOffAfterMs, peerTimeoutMs} = this.cfg.timing;
    const current = await waitForRelease({
      clock: this.clock,
      control: this.control,
      store: this.store,
      cutOffMs: cutOffAfterMs + peerTimeoutMs,
      ending: this.stopping.signal,
    });
    if (current === undefined || this.state !== 'starting') {
      return;
    }
    this.state = 'ready';
    this.membership.invalidate();
    this.log.emit('ready', {release: this.policy.release(), current});
  }

  private async sweepLoop(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.clock.sleep(SWEEP_PERIOD_MS, this.stopping.signal);
      this.registry.sweep();
      this.table.sweep(this.clock.wallNow());
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
    this.log.emit('draining', {inProgress: this.callers.inProgress});
    this.state = 'draining';
    this.membership.invalidate();
    this.callers.beginClose();
    await this.clock.sleep(drainDelayMs);
    this.callers.stopListening();
    const startedMs = this.clock.now();
    while (
      this.inProgress() > 0 &&
      this.clock.now() - startedMs < drainTimeoutMs
    ) {
      await this.clock.sleep(DRAIN_POLL_MS);
    }
    await this.viewKeeper.leave(LEAVE_TIMEOUT_MS);
    const left = this.inProgress();
    await this.stop();
    this.log.emit('stopped', {left});
  }

  private inProgress(): number {
    return (
      this.callers.inProgress + this.router.serving + this.claims.runningCount
    );
  }

  private async stop(): Promise<void> {
    this.stopping.abort(DispatchError.notRun('draining', 'the instance ends'));
    this.viewKeeper.stop();
    this.membership.stop();
    await this.replica?.stop();
    this.callers.closeAll();
    this.operators.closeAll();
    this.client.close();
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

  private parts(): InstanceParts {
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
      table: this.table,
      seat: this.seat,
      callers: this.callers,
    };
  }
}

function fromUuid(): number {
  return parseInt(randomUUID().slice(0, 8), 16) | 0;
}
