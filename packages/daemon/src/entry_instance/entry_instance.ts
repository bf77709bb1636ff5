import type {
  Heartbeat,
  InstanceId,
  JobId,
  JobOutcome,
  KnownInstance,
  ScheduledJob,
} from '@papayarun/protocol';
import type {ControlState} from '@papayarun/releases';
import {ControlStore} from '@papayarun/releases';
import {Scheduler} from '@papayarun/scheduling';
import {ClusterNode} from '../cluster_node/cluster_node.js';
import {QueueTable} from '../work_queue/queue_table.js';
import type {WorkQueue} from '../work_queue/work_queue.js';
import type {EntryInstanceOptions} from './entry_instance_options.js';
import {JobSubmitter} from './job_submitter.js';
import {SchedulerFinder} from './scheduler_finder.js';

/** Timeout of a `listTargets` call to a state instance, in milliseconds. */
const LIST_TARGETS_TIMEOUT_MS = 1_000;

/**
 * Instance that accepts jobs from callers, and schedules the targets of its
 * data centre while it holds the scheduler grant.
 */
export class EntryInstance {
  private readonly store = ControlStore.create();
  private readonly scheduler: Scheduler;
  /** Entry instances that wait for the outcome of each job scheduled here. */
  private readonly requestersByJob = new Map<JobId, Set<InstanceId>>();
  private state: Heartbeat['state'] = 'starting';
  private node!: ClusterNode;
  private finder!: SchedulerFinder;
  private submitter!: JobSubmitter;
  private queues: QueueTable | undefined;
  private configurationRevision: number | undefined;
  private isConfigurationUpdateQueued = false;
  private fencedToken = 0;

  private constructor(private readonly opts: EntryInstanceOptions) {
    const {metrics} = opts;
    this.scheduler = Scheduler.create({
      ...opts,
      dataCentreCount: () => Object.keys(this.store.state.schedulers).length,
      onFenced: token => (this.fencedToken = token),
      onOutcome: (job, outcome, tookMs) => {
        const verdict = 'reason' in outcome ? outcome.reason : outcome.kind;
        metrics.recordJob(job.kind, verdict, tookMs);
      },
    });
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

  /** Number of jobs on this scheduler with tasks that wait for a target. */
  get waitingJobs(): number {
    return this.scheduler.waitingJobs;
  }

  /** Values of the gauges to export as metrics. */
  gauges(): Record<string, number> {
    return {
      ...this.node.gauges(),
      scheduler_token: this.scheduler.token ?? 0,
      waiting_jobs: this.scheduler.waitingJobs,
      running_tasks: this.scheduler.runningTasks,
      targets: this.scheduler.targets,
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
   * Runs a job on the scheduler of this data centre, or shares it out over
   * other data centres if the local scheduler refuses it or it would wait there.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller disconnects.
   * @returns The outcome; only a refusal guarantees that no task has run.
   */
  submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    return this.submitter.submit(job, signal);
  }

  /** Replaces the seeds after a settings reload. */
  updateSeeds(seeds: readonly InstanceId[]): void {
    this.node.discovery.useSeeds(seeds);
  }

  /**
   * Starts to drain: the grant moves to another entry instance, and callers are
   * sent to other instances.
   */
  drain(): void {
    this.state = 'draining';
    this.node.membership.invalidateLiveInstances();
    this.node.membership.sendHeartbeat();
  }

  async stop(): Promise<void> {
    this.scheduler.end();
    await this.node.stop();
  }

  private async open(): Promise<void> {
    const {opts, store} = this;
    this.node = await ClusterNode.create({
      ...opts,
      store,
      state: () => this.state,
      shouldLink: (peer, state) => this.shouldLink(peer, state),
      onLinkDown: peer => this.removeRequesterFromAllJobs(peer),
      onIncarnationChanged: () => this.applyGrant(store.state),
    });
    const {membership, network} = this.node;
    this.finder = SchedulerFinder.create({
      ...opts,
      store,
      network,
      membership,
      ownToken: () => this.scheduler.token,
    });
    this.submitter = this.createSubmitter(opts.cfg.instanceId);
    network.onCall('scheduleJob', async (from, {job}) => ({
      outcome: await this.scheduleFor(from, job),
    }));
    network.onCall('quoteJob', (_from, {job}) =>
      Promise.resolve({quote: this.scheduler.quote(job)}),
    );
    network.onNotice('cancelJob', (from, {jobId}) =>
      this.removeRequester(jobId, from),
    );
    network.onCall('reportTarget', (_from, {report}) =>
      Promise.resolve({accepted: this.scheduler.acceptReport(report)}),
    );
    store.onChange((before, after) => {
      if (before.schedulers !== after.schedulers) {
        this.node.discovery.recordSchedulers(after.schedulers);
      }
      this.applyControlState(after);
    });
    this.node.start();
  }

  private createSubmitter(self: InstanceId): JobSubmitter {
    const {clock, log} = this.opts;
    return JobSubmitter.create({
      self,
      finder: this.finder,
      network: this.node.network,
      clock,
      log,
      schedule: job => this.scheduleFor(self, job),
      cancel: jobId => this.removeRequester(jobId, self),
      recordRunTime: (kind, sample) =>
        this.scheduler.recordRunTime(kind, sample),
    });
  }

  private shouldLink(peer: KnownInstance, state: ControlState): boolean {
    return (
      peer.role === 'state' ||
      peer.dataCentre === this.opts.cfg.dataCentre ||
      Object.values(state.schedulers).some(
        grant => grant.instanceId === peer.instanceId,
      )
    );
  }

  private applyControlState(state: ControlState): void {
    if (!this.isConfigurationUpdateQueued) {
      this.isConfigurationUpdateQueued = true;
      // After a restart many revisions are applied in a row; only the last one
      // has to take effect.
      queueMicrotask(() => this.applyConfiguration());
    }
    this.applyGrant(state);
  }

  private applyConfiguration(): void {
    this.isConfigurationUpdateQueued = false;
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

  /** Starts or stops scheduling according to the current grant. */
  private applyGrant(state: ControlState): void {
    const {cfg} = this.opts;
    const grant = state.schedulers[cfg.dataCentre];
    if (grant) {
      this.finder.recordGrant(grant.token);
    }
    const isHeldHere =
      grant?.instanceId === cfg.instanceId &&
      grant.boot === this.node.membership.boot &&
      grant.token > this.fencedToken;
    if (!isHeldHere) {
      this.scheduler.end();
      return;
    }
    if (this.scheduler.token !== grant.token) {
      this.scheduler.begin(grant.token);
      for (const id of this.node.discovery.stateInstances()) {
        void this.fetchTargets(id);
      }
    }
  }

  private async fetchTargets(from: InstanceId): Promise<void> {
    const {dataCentre} = this.opts.cfg;
    const opts = {timeoutMs: LIST_TARGETS_TIMEOUT_MS};
    const {network} = this.node;
    try {
      const res = await network.call(from, 'listTargets', {dataCentre}, opts);
      res.reports.forEach(report => this.scheduler.acceptReport(report));
    } catch (err) {
      this.opts.log.emit('targetsNotListed', {
        from,
        err: (err as Error).message,
      });
    }
  }

  private async scheduleFor(
    requester: InstanceId,
    job: ScheduledJob,
  ): Promise<JobOutcome> {
    const requesters = this.requestersByJob.get(job.id) ?? new Set();
    requesters.add(requester);
    this.requestersByJob.set(job.id, requesters);
    const outcome = await this.scheduler.submit(job);
    this.requestersByJob.delete(job.id);
    return outcome;
  }

  private removeRequester(jobId: JobId, requester: InstanceId): void {
    const requesters = this.requestersByJob.get(jobId);
    requesters?.delete(requester);
    if (requesters?.size === 0) {
      this.scheduler.cancel(jobId);
    }
  }

  private removeRequesterFromAllJobs(peer: InstanceId): void {
    for (const jobId of [...this.requestersByJob.keys()]) {
      if (this.requestersByJob.get(jobId)?.has(peer)) {
        this.removeRequester(jobId, peer);
      }
    }
  }
}
