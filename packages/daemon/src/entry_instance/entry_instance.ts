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

/** Time for a state instance to list its targets, in milliseconds. */
const LIST_TIMEOUT_MS = 1_000;

/**
 * An instance that takes callers' jobs, and schedules a data centre's targets
 * while it holds the grant for them.
 */
export class EntryInstance {
  private readonly store = ControlStore.create();
  private readonly scheduler: Scheduler;
  /** Instances that wait for each job of this scheduler. */
  private readonly owners = new Map<JobId, Set<InstanceId>>();
  private state: Heartbeat['state'] = 'starting';
  private node!: ClusterNode;
  private finder!: SchedulerFinder;
  private submitter!: JobSubmitter;
  private queues: QueueTable | undefined;
  private revision: number | undefined;
  private isConfigurationDue = false;
  private fencedToken = 0;

  private constructor(private readonly opts: EntryInstanceOptions) {
    const {metrics} = opts;
    this.scheduler = Scheduler.create({
      ...opts,
      dataCentres: () => Object.keys(this.store.state.schedulers).length,
      onFenced: token => (this.fencedToken = token),
      onOutcome: (job, outcome, tookMs) => {
        const verdict = 'reason' in outcome ? outcome.reason : outcome.kind;
        metrics.countJob(job.kind, verdict, tookMs);
      },
    });
  }

  /**
   * Opens the listener for peers.
   *
   * @param opts - Settings, way to the targets, clock and log.
   * @returns The instance, running; ready once it has a configuration.
   * @throws Error when the address can't be used.
   * @example
   * const instance = await EntryInstance.create(opts);
   */
  static async create(opts: EntryInstanceOptions): Promise<EntryInstance> {
    const instance = new EntryInstance(opts);
    await instance.open();
    return instance;
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    return this.state === 'ready' && this.finder.reachable().length > 0;
  }

  get hasConfiguration(): boolean {
    return this.queues !== undefined;
  }

  /** Jobs of this scheduler that wait for a place. */
  get waitingJobs(): number {
    return this.scheduler.waitingJobs;
  }

  /** Gauges for the metrics. */
  gauges(): Record<string, number> {
    return {
      scheduler_token: this.scheduler.token ?? 0,
      waiting_jobs: this.scheduler.waitingJobs,
      running_tasks: this.scheduler.runningTasks,
      targets: this.scheduler.targets,
      state_index: this.store.index,
      configuration_revision: this.revision ?? 0,
    };
  }

  /**
   * The queue of a request, by the newest configuration held.
   *
   * @param host - Host of the request, without a port.
   * @param path - Its path.
   * @returns The queue, or undefined.
   */
  queueFor(host: string, path: string): WorkQueue | undefined {
    return this.queues?.find(host, path);
  }

  /**
   * Runs a job through the scheduler of this data centre, or another one's if
   * it would wait there.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller leaves.
   * @returns How it ended; only a refusal promises that nothing has run.
   */
  submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    return this.submitter.submit(job, signal);
  }

  /** Takes other seeds, after the settings have changed. */
  useSeeds(seeds: readonly InstanceId[]): void {
    this.node.roster.useSeeds(seeds);
  }

  /** Begins to drain: another entry gets the grant, callers go elsewhere. */
  drain(): void {
    this.state = 'draining';
    this.node.membership.invalidate();
    this.node.membership.beat();
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
      wants: (known, state) => this.wants(known, state),
      onLinkDown: peer => this.ownerLost(peer),
      onRenewed: () => this.followGrant(store.state),
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
    network.onNotice('cancelJob', (from, {jobId}) => this.disown(jobId, from));
    network.onCall('reportTarget', (_from, {report}) =>
      Promise.resolve({accepted: this.scheduler.accept(report)}),
    );
    store.onChange((before, after) => {
      if (before.schedulers !== after.schedulers) {
        this.node.roster.addSchedulers(after.schedulers);
      }
      this.follow(after);
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
      cancel: jobId => this.disown(jobId, self),
      learn: (kind, sample) => this.scheduler.learn(kind, sample),
    });
  }

  private wants(known: KnownInstance, state: ControlState): boolean {
    return (
      known.role === 'state' ||
      known.dataCentre === this.opts.cfg.dataCentre ||
      Object.values(state.schedulers).some(
        grant => grant.instanceId === known.instanceId,
      )
    );
  }

  private follow(state: ControlState): void {
    if (!this.isConfigurationDue) {
      this.isConfigurationDue = true;
      // After a restart many revisions are applied at once; the last one counts.
      queueMicrotask(() => this.takeConfiguration());
    }
    this.followGrant(state);
  }

  private takeConfiguration(): void {
    this.isConfigurationDue = false;
    const {configuration} = this.store.state;
    if (!configuration || configuration.revision === this.revision) {
      return;
    }
    this.revision = configuration.revision;
    this.queues = QueueTable.create(this.opts.queuesOf(configuration.content));
    this.opts.log.emit('configurationInForce', {revision: this.revision});
    if (this.state === 'starting') {
      this.state = 'ready';
      this.opts.log.emit('ready', {revision: this.revision});
      this.node.membership.beat();
    }
  }

  /** Begins or ends scheduling, as the grant in force says. */
  private followGrant(state: ControlState): void {
    const {cfg} = this.opts;
    const grant = state.schedulers[cfg.dataCentre];
    if (grant) {
      this.finder.noteGrant(grant.token);
    }
    const isMine =
      grant?.instanceId === cfg.instanceId &&
      grant.boot === this.node.membership.boot &&
      grant.token > this.fencedToken;
    if (!isMine) {
      this.scheduler.end();
      return;
    }
    if (this.scheduler.token !== grant.token) {
      this.scheduler.begin(grant.token);
      for (const id of this.node.roster.stateInstances()) {
        void this.fetchTargets(id);
      }
    }
  }

  private async fetchTargets(from: InstanceId): Promise<void> {
    const {dataCentre} = this.opts.cfg;
    const opts = {timeoutMs: LIST_TIMEOUT_MS};
    const {network} = this.node;
    try {
      const res = await network.call(from, 'listTargets', {dataCentre}, opts);
      res.reports.forEach(report => this.scheduler.accept(report));
    } catch (err) {
      this.opts.log.emit('targetsNotListed', {
        from,
        err: (err as Error).message,
      });
    }
  }

  private async scheduleFor(
    owner: InstanceId,
    job: ScheduledJob,
  ): Promise<JobOutcome> {
    const owners = this.owners.get(job.id) ?? new Set();
    owners.add(owner);
    this.owners.set(job.id, owners);
    const outcome = await this.scheduler.submit(job);
    this.owners.delete(job.id);
    return outcome;
  }

  private disown(jobId: JobId, owner: InstanceId): void {
    const owners = this.owners.get(jobId);
    owners?.delete(owner);
    if (owners?.size === 0) {
      this.scheduler.cancel(jobId);
    }
  }

  private ownerLost(peer: InstanceId): void {
    for (const jobId of [...this.owners.keys()]) {
      if (this.owners.get(jobId)?.has(peer)) {
        this.disown(jobId, peer);
      }
    }
  }
}
