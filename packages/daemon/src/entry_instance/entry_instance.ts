import type {
  Heartbeat,
  InstanceId,
  JobId,
  JobOutcome,
  ScheduledJob,
  ShardId,
  TaskLoss,
} from '@papayarun/protocol';
import {dataCentreOfShard, shardIdOf} from '@papayarun/protocol';
import type {ControlState, SchedulerGrant} from '@papayarun/releases';
import {ControlStore} from '@papayarun/releases';
import {
  longestLeaseMs,
  runPermissionEndMs,
  runsEndAfterLossMs,
} from '@papayarun/scheduling';
import type {CancellationResult} from '../cancelled_jobs/cancellation_result.js';
import {JobCancellations} from '../cancelled_jobs/job_cancellations.js';
import {ClusterNode} from '../cluster_node/cluster_node.js';
import {EvacuationTracker} from '../evacuations/evacuation_tracker.js';
import {InterruptedJobs} from '../interrupted_jobs/interrupted_jobs.js';
import {afterNextReading} from '../loop_lag/after_next_reading.js';
import {afterReading} from '../loop_lag/after_reading.js';
import {inFlightKeepersOf} from '../members/in_flight_keepers_of.js';
import {jobRegistrarsOf} from '../members/job_registrars_of.js';
import {livePeersOf} from '../members/live_peers_of.js';
import {JobRegistrations} from '../registered_jobs/job_registrations.js';
import {QueueTable} from '../work_queue/queue_table.js';
import type {WorkQueue} from '../work_queue/work_queue.js';
import type {EntryInstanceOptions} from './entry_instance_options.js';
import {cancelledOutcome} from '../cancelled_jobs/cancelled_outcome.js';
import {checkTaskLoss} from './check_task_loss.js';
import {JobSubmitter} from './job_submitter.js';
import {KeepAliveSender} from './keep_alive_sender.js';
import {LinkPolicy} from './link_policy.js';
import {LocalSchedulers} from './local_schedulers.js';
import {RequesterMonitor} from './requester_monitor.js';
import {SchedulerFinder} from './scheduler_finder.js';
import {StaleTargetRemover} from './stale_target_remover.js';

/** Timeout of a `listTargets` call to a state instance, in milliseconds. */
const LIST_TARGETS_TIMEOUT_MS = 1_000;
/**
 * Longest silence of an instance that waits for jobs, as a share of the time for
 * which their runs are permitted. In the rest, the runs are stopped before the
 * leases of their targets end.
 */
const MAX_SILENCE_SHARE = 0.75;

/**
 * Instance that accepts jobs from callers, and schedules the targets of those
 * shards of its data centre that are granted to it.
 */
export class EntryInstance {
  private readonly store = ControlStore.create();
  private readonly schedulers: LocalSchedulers;
  private state: Heartbeat['state'] = 'starting';
  private node!: ClusterNode;
  private finder!: SchedulerFinder;
  private interrupted!: InterruptedJobs;
  private registrations!: JobRegistrations;
  private submitter!: JobSubmitter;
  private cancellations!: JobCancellations;
  private staleTargets!: StaleTargetRemover;
  private keepAlives!: KeepAliveSender;
  private requesters!: RequesterMonitor;
  private readonly linkPolicy: LinkPolicy;
  private readonly evacuations: EvacuationTracker;
  private queues: QueueTable | undefined;
  private configurationRevision: number | undefined;
  private isControlUpdateQueued = false;

  private constructor(private readonly opts: EntryInstanceOptions) {
    const {instanceId, dataCentre, evacuationMs} = opts.cfg;
    this.evacuations = EvacuationTracker.create({
      clock: opts.clock,
      log: opts.log,
      evacuationMs,
    });
    this.schedulers = LocalSchedulers.create({
      ...opts,
      self: instanceId,
      dataCentre,
      store: this.store,
      evacuationPhase: () => this.evacuations.phaseOf(dataCentre),
      loopLagMs: () => this.node.loopLag.lagMs,
      heardMs: requester => this.heardMs(requester),
      isHolderActive: grant => this.isHolderActive(grant),
      catchUp: () => this.node.loopLag.catchUp(),
      afterNextReading: () => afterNextReading(opts.clock),
      otherRunsForMs: (jobId, isKnown) =>
        this.interrupted.otherRunsForMs(jobId, isKnown),
      onAdmitted: () => this.interrupted.recordAdmission(),
      onRequesterLost: (jobId, submissionId) =>
        this.interrupted.recordLostRequester(jobId, submissionId),
      onLostSubmissionEnded: (jobId, submissionId) => {
        this.interrupted.recordEnd(jobId, submissionId);
        this.registrations.recordRunsEnd(jobId, submissionId);
      },
      onTaskLost: loss => this.tellEntries(loss),
    });
    this.linkPolicy = LinkPolicy.create(instanceId, dataCentre);
  }

  /**
   * Creates an entry instance and starts to listen for peers.
   *
   * @param opts - Settings, target client, clock, log and metrics.
   * @returns The running instance; it is ready once it has a configuration.
   * @throws Error when the address can't be bound.
   * @example
   * const instance = await EntryInstance.create(opts);
   */
  static async create(opts: EntryInstanceOptions): Promise<EntryInstance> {
    const instance = new EntryInstance(opts);
    await instance.open();
    return instance;
  }

  /** Whether callers should be routed to this instance. */
  get isReady(): boolean {
    return this.state === 'ready' && this.finder.reachable().length > 0;
  }

  get hasConfiguration(): boolean {
    return this.queues !== undefined;
  }

  /** Number of jobs scheduled here with tasks that wait for a target. */
  get waitingJobs(): number {
    return this.schedulers.waitingJobs;
  }

  /** Values of the gauges to export as metrics. */
  gauges(): Record<string, number> {
    return {
      ...this.node.gauges(),
      ...this.schedulers.gauges(),
      ...this.evacuations.gauges(),
      held_submissions: this.interrupted.heldSubmissions,
      all_jobs_held_ms: this.interrupted.allHeldMs,
      answered_copies: this.registrations.answeredCopies,
      unregistered_jobs: this.registrations.unregisteredJobs,
      cancelled_jobs: this.cancellations.size,
      state_index: this.store.index,
      configuration_revision: this.configurationRevision ?? 0,
    };
  }

  /**
   * Finds the queue of a request in the latest configuration applied here.
   *
   * @param host - Host of the request, without a port.
   * @param path - Path of the request.
   * @returns The queue, or undefined if none matches.
   */
  queueFor(host: string, path: string): WorkQueue | undefined {
    return this.queues?.find(host, path);
  }

  /**
   * Runs a job on a scheduler of this data centre, or shares it out over
   * several ones if the first refuses it or it would wait there.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller disconnects.
   * @returns The outcome; only a refusal guarantees that no task has run.
   */
  submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    return this.cancellations.run(job, signal, (current, either) =>
      this.registrations.run(current, () =>
        this.submitter.submit(current, either),
      ),
    );
  }

  /**
   * Cancels a job at all instances, whichever has it, and refuses copies of it
   * that arrive later.
   *
   * @param jobId - The job.
   * @param leftMs - Time for which the caller waits, in milliseconds.
   * @returns Whether the job is known to be cancelled.
   */
  cancel(jobId: JobId, leftMs?: number): Promise<CancellationResult> {
    return this.cancellations.cancel(jobId, leftMs);
  }

  /** Replaces the seeds after a settings reload. */
  updateSeeds(seeds: readonly InstanceId[]): void {
    this.node.discovery.useSeeds(seeds);
  }

  /**
   * Starts to drain: the grants move to other entry instances, and callers are
   * sent to other instances.
   */
  drain(): void {
    this.state = 'draining';
    this.node.membership.invalidateLiveInstances();
    this.node.membership.sendHeartbeat();
  }

  async stop(): Promise<void> {
    this.staleTargets.stop();
    this.keepAlives.stop();
    this.requesters.stop();
    this.schedulers.end();
    await this.node.stop();
  }

  private async open(): Promise<void> {
    const {opts, store} = this;
    this.node = await ClusterNode.create({
      ...opts,
      store,
      state: () => this.state,
      maxTargets: opts.maxTargets,
      shouldLink: (peer, state) => this.linkPolicy.shouldLink(peer, state),
      onLinkUp: peer => {
        this.cancellations.tellMissed(peer);
        this.interrupted.recordLink(peer);
        void this.registrations.recordLink(peer);
      },
      onLinkDown: peer => this.handleLinkDown(peer),
      onIncarnationChanged: () => this.applyGrants(store.state),
    });
    const {membership, network} = this.node;
    this.finder = SchedulerFinder.create({
      ...opts,
      store,
      network,
      membership,
      linkTo: id => this.node.discovery.linkTo(id),
      ownToken: shard => this.schedulers.token(shard),
      isEvacuated: dataCentre => this.evacuations.isEvacuated(dataCentre),
    });
    this.interrupted = this.createInterruptedJobs();
    this.registrations = this.createRegistrations();
    this.submitter = this.createSubmitter(opts.cfg.instanceId);
    this.cancellations = JobCancellations.create({
      clock: opts.clock,
      log: opts.log,
      network,
      stateInstances: () => this.linkedStateInstances(),
      endJob: jobId => this.schedulers.endJob(jobId),
    });
    this.staleTargets = StaleTargetRemover.create({
      clock: opts.clock,
      log: opts.log,
      schedulers: this.schedulers,
      control: () => this.node.control,
    });
    this.keepAlives = KeepAliveSender.create({
      clock: opts.clock,
      intervalMs: opts.cfg.heartbeatMs,
      afterReading,
      network,
      schedulers: () => this.submitter.awaitedSchedulers(),
    });
    this.requesters = this.createRequesterMonitor();
    this.serveCalls();
    store.onChange((before, after) => {
      if (before.schedulers !== after.schedulers) {
        this.node.discovery.recordSchedulers(after.schedulers);
      }
      this.applyControlState(after);
    });
    this.node.start();
    this.staleTargets.start();
    this.keepAlives.start();
    this.requesters.start();
  }

  /** Serves the calls of other instances to the schedulers of this one. */
  private serveCalls(): void {
    const {network} = this.node;
    const firstShard = shardIdOf(this.opts.cfg.dataCentre, 0);
    network.onCall('scheduleJob', async (from, req) => {
      const {job, shard = firstShard, keepAliveMs, submissionId} = req;
      if (this.cancellations.has(job.id)) {
        return {outcome: cancelledOutcome(job)};
      }
      return {
        outcome: await this.schedulers.submit(
          from,
          shard,
          job,
          keepAliveMs !== undefined,
          submissionId,
        ),
      };
    });
    network.onCall('quoteJob', (_from, {job, shard = firstShard}) =>
      Promise.resolve({quote: this.schedulers.quote(shard, job)}),
    );
    network.onNotice('cancelJob', (from, {jobId}) =>
      this.schedulers.cancel(from, jobId, 'notice'),
    );
    network.onNotice('taskLost', (_from, loss) =>
      this.schedulers.recordTaskLoss(checkTaskLoss(loss)),
    );
    network.onCall('reportTarget', (_from, {report, shard = firstShard}) =>
      Promise.resolve({
        accepted: this.schedulers.acceptReport(shard, report),
      }),
    );
  }

  /** Tells the linked entry instances that a target has crashed under a task. */
  private tellEntries(loss: TaskLoss): void {
    const {network, membership} = this.node;
    for (const peer of network.connectedPeers()) {
      if (membership.peer(peer)?.heartbeat.role === 'entry') {
        network.notify(peer, 'taskLost', loss);
      }
    }
  }

  /** Monotonic time at which an instance was last known to run. */
  private heardMs(requester: InstanceId): number | undefined {
    return requester === this.opts.cfg.instanceId
      ? this.node.loopLag.readUpToMs
      : this.node.network.arrivedSinceMs(requester);
  }

  /** Whether the holder of a grant is linked, in the granted incarnation. */
  private isHolderActive({instanceId, boot}: SchedulerGrant): boolean {
    const {membership, network} = this.node;
    return (
      network.connectedPeers().includes(instanceId) &&
      membership.isAlive(instanceId) &&
      membership.peer(instanceId)?.heartbeat.boot === boot
    );
  }

  private createRequesterMonitor(): RequesterMonitor {
    const {cfg, clock, log, timing} = this.opts;
    return RequesterMonitor.create({
      clock,
      afterReading,
      maxSilenceMs: Math.min(
        cfg.peerTimeoutMs,
        MAX_SILENCE_SHARE * runPermissionEndMs(0, timing),
      ),
      requesters: () => this.schedulers.keptAliveRequesters(),
      heardMs: requester => this.heardMs(requester),
      onSilent: (requester, silentMs) => {
        const roundedMs = Math.round(silentMs);
        log.emit('requesterSilent', {peer: requester, silentMs: roundedMs});
        this.schedulers.cancelAllOf(requester, 'silent', silentMs);
        this.interrupted.recordLoss(requester);
      },
    });
  }

  private createSubmitter(self: InstanceId): JobSubmitter {
    const {clock, log} = this.opts;
    return JobSubmitter.create({
      self,
      finder: this.finder,
      network: this.node.network,
      clock,
      log,
      keepAliveMs: this.opts.cfg.heartbeatMs,
      afterNextReading: () => afterNextReading(clock),
      longestLeaseMs: longestLeaseMs(this.opts.timing),
      schedule: (shard, job, submissionId) =>
        this.schedulers.submit(self, shard, job, false, submissionId),
      quote: (shard, job) => this.schedulers.quote(shard, job),
      cancel: jobId => this.schedulers.cancel(self, jobId, 'notice'),
      interrupted: this.interrupted,
      registrations: this.registrations,
      recordRunTime: (kind, sample) =>
        this.schedulers.recordRunTime(kind, sample),
    });
  }

  private createInterruptedJobs(): InterruptedJobs {
    const {cfg, timing} = this.opts;
    const {membership, network} = this.node;
    return InterruptedJobs.create({
      ...this.opts,
      self: cfg.instanceId,
      dataCentre: cfg.dataCentre,
      network,
      entries: () => livePeersOf('entry', membership, network),
      stateInstances: () => this.linkedStateInstances(),
      inFlightKeepers: () => inFlightKeepersOf(membership, network),
      registrarOf: jobId => this.registrations.registrarOfOwn(jobId),
      runsEndAfterMs: runsEndAfterLossMs(timing),
    });
  }

  private createRegistrations(): JobRegistrations {
    const {clock, log, timing} = this.opts;
    const {membership, network} = this.node;
    return JobRegistrations.create({
      process: this.interrupted.processName,
      clock,
      log,
      network,
      registrars: () => jobRegistrarsOf(membership, network),
      runsEndAfterLossMs: runsEndAfterLossMs(timing),
    });
  }

  /** Linked state instances that are alive, the nearest first. */
  private linkedStateInstances(): InstanceId[] {
    const {membership, network} = this.node;
    const peers = livePeersOf('state', membership, network);
    const isRemote = (id: InstanceId): number =>
      Number(peers.get(id) !== this.opts.cfg.dataCentre);
    return [...peers.keys()].sort((a, b) => isRemote(a) - isRemote(b));
  }

  private handleLinkDown(peer: InstanceId): void {
    this.schedulers.cancelAllOf(peer, 'linkLost');
    this.interrupted.recordLoss(peer);
    this.registrations.recordLoss(peer);
  }

  private applyControlState(state: ControlState): void {
    if (!this.isControlUpdateQueued) {
      this.isControlUpdateQueued = true;
      // After a restart many commands are applied in a row; only the last
      // configuration and the last evacuations have to take effect.
      queueMicrotask(() => {
        this.isControlUpdateQueued = false;
        this.applyEvacuations();
        this.applyConfiguration();
      });
    }
    this.applyGrants(state);
  }

  private applyEvacuations(): void {
    const evacuated = this.evacuations.update(this.store.state);
    if (evacuated.includes(this.opts.cfg.dataCentre)) {
      this.schedulers.refuseUnbegun();
    }
  }

  private applyConfiguration(): void {
    const {configuration} = this.store.state;
    if (
      !configuration ||
      configuration.revision === this.configurationRevision
    ) {
      return;
    }
    this.configurationRevision = configuration.revision;
    this.queues = QueueTable.create(
      this.opts.decodeQueues(configuration.content),
    );
    this.opts.log.emit('configurationInForce', {
      revision: this.configurationRevision,
    });
    if (this.state === 'starting') {
      this.state = 'ready';
      this.opts.log.emit('ready', {revision: this.configurationRevision});
      this.node.membership.sendHeartbeat();
    }
  }

  /** Starts or stops scheduling according to the current grants. */
  private applyGrants(state: ControlState): void {
    const {dataCentre} = this.opts.cfg;
    const tokens = Object.entries(state.schedulers)
      .filter(([shard]) => dataCentreOfShard(shard as ShardId) === dataCentre)
      .map(([, grant]) => grant.token);
    this.finder.recordGrants(tokens);
    for (const shard of this.schedulers.applyGrants(
      this.node.membership.boot,
    )) {
      for (const id of this.node.discovery.stateInstances()) {
        void this.fetchTargets(id, shard);
      }
    }
  }

  private async fetchTargets(from: InstanceId, shard: ShardId): Promise<void> {
    const req = {dataCentre: this.opts.cfg.dataCentre, shard};
    const opts = {timeoutMs: LIST_TARGETS_TIMEOUT_MS};
    try {
      const res = await this.node.network.call(from, 'listTargets', req, opts);
      for (const report of res.reports) {
        this.schedulers.acceptReport(shard, report);
      }
    } catch (err) {
      this.opts.log.emit('targetsNotListed', {
        from,
        err: (err as Error).message,
      });
    }
  }
}
