import type {
  DataCentreId,
  Heartbeat,
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  JobRefusal,
  KnownInstance,
  ScheduledJob,
} from '@papayarun/protocol';
import {PeerCallError} from '@papayarun/protocol';
import type {ControlState, SchedulerGrant} from '@papayarun/releases';
import {ControlStore} from '@papayarun/releases';
import {Scheduler, shareOut} from '@papayarun/scheduling';
import {ClusterNode} from '../cluster_node/cluster_node.js';
import {QueueTable} from '../work_queue/queue_table.js';
import type {WorkQueue} from '../work_queue/work_queue.js';
import type {EntryInstanceOptions} from './entry_instance_options.js';

/** Time beyond the caller's deadline for a scheduler's answer, in ms. */
const ANSWER_SLACK_MS = 100;
/** Pause while a lost scheduler's successor is awaited, in milliseconds. */
const SUCCESSOR_POLL_MS = 20;
/** Longest wait for a successor of a lost scheduler, in milliseconds. */
const MAX_SUCCESSOR_WAIT_MS = 1_200;
/** Time for a scheduler that was granted to ask its targets, in ms. */
const TAKEOVER_MS = 500;
/** Longest wait of a new job for such a scheduler, in milliseconds. */
const TAKEOVER_WAIT_MS = 250;
/** Longest wait for another data centre's quote, in milliseconds. */
const QUOTE_TIMEOUT_MS = 40;
/** Time for which a scheduler that gave no quote isn't asked again, in ms. */
const NO_QUOTE_PAUSE_MS = 300;
const LIST_TIMEOUT_MS = 1_000;
/** When a caller may come back if no scheduler can be reached, in ms. */
const NO_SCHEDULER_RETRY_MS = 1_000;

type Refused = Extract<JobOutcome, {kind: 'refused'}>;
const NO_QUOTE: JobQuote = {endsMs: [], limitMs: 0, latestMs: 0};
const NO_SCHEDULER: Refused = {
  kind: 'refused',
  reason: 'notScheduler',
  retryAfterMs: NO_SCHEDULER_RETRY_MS,
  quote: NO_QUOTE,
};
const LOST = {kind: 'failed', reason: 'schedulerLost'} as const;

/**
 * An instance that takes callers' jobs, and schedules a data centre's targets
 * while it holds the grant for them.
 */
export class EntryInstance {
  private readonly store = ControlStore.create();
  private readonly scheduler: Scheduler;
  /** Instances that wait for each job of this scheduler. */
  private readonly owners = new Map<JobId, Set<InstanceId>>();
  /** Until when a scheduler that gave no quote isn't asked for one. */
  private readonly unquotedUntil = new Map<InstanceId, number>();
  private state: Heartbeat['state'] = 'starting';
  private node!: ClusterNode;
  private queues: QueueTable | undefined;
  private revision: number | undefined;
  private isConfigurationDue = false;
  private fencedToken = 0;
  /** Monotonic time at which this data centre's grant last changed. */
  private grantChangedMs = -Infinity;
  private grantToken = 0;

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
    return this.state === 'ready' && this.holders().length > 0;
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
   * this one refuses it.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller leaves.
   * @returns How it ended; only a refusal promises that nothing has run.
   */
  async submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    const startedMs = this.opts.clock.now();
    let holders = this.holders();
    let refusal = NO_SCHEDULER;
    for (;;) {
      const own = this.ownOf(holders);
      if (own) {
        const aged = this.aged(job, startedMs);
        const outcome = await this.submitUntilSettled(own, aged, signal);
        if (outcome.kind !== 'refused') {
          return outcome;
        }
        refusal = outcome;
        if (outcome.reason === 'notScheduler') {
          // It knows of a change that has not come here yet.
          this.grantChangedMs = this.opts.clock.now();
        }
      }
      const waitedMs = this.opts.clock.now() - startedMs;
      if (!this.isTakeover(refusal.reason) || waitedMs > TAKEOVER_WAIT_MS) {
        break;
      }
      await this.opts.clock.sleep(SUCCESSOR_POLL_MS, signal);
      holders = this.holders();
    }
    const own = this.ownOf(holders);
    const others = holders.filter(holder => holder !== own);
    const aged = this.aged(job, startedMs);
    const quotes = [
      ...(own ? [refusal.quote] : []),
      ...(await Promise.all(others.map(h => this.quoteOf(h, aged)))),
    ];
    const parts = shareOut(this.aged(job, startedMs), quotes);
    return parts && !signal.aborted
      ? this.submitParts(own ? [own, ...others] : others, parts, quotes, signal)
      : refusal;
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
    const {network} = this.node;
    network.onCall('scheduleJob', (from, {job}) => this.scheduleFor(from, job));
    network.onCall('quoteJob', (_from, {job}) =>
      Promise.resolve({quote: this.scheduler.quote(job)}),
    );
    network.onNotice('cancelJob', (from, {jobId}) => this.disown(jobId, from));
    network.onCall('reportTarget', (_from, {report}) =>
      Promise.resolve({accepted: this.scheduler.accept(report)}),
    );
    store.onChange((_before, after) => this.follow(after));
    this.node.start();
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
    if (grant && grant.token !== this.grantToken) {
      this.grantToken = grant.token;
      this.grantChangedMs = this.opts.clock.now();
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

  /** Schedulers that can be reached, the one of this data centre first. */
  private holders(): Holder[] {
    const {cfg} = this.opts;
    const {membership, network} = this.node;
    const linked = new Set(network.linked());
    const holders: Holder[] = [];
    for (const [name, grant] of Object.entries(this.store.state.schedulers)) {
      const isSelf =
        grant.instanceId === cfg.instanceId &&
        this.scheduler.token === grant.token;
      const isReachable =
        linked.has(grant.instanceId) && membership.isAlive(grant.instanceId);
      if (isSelf || isReachable) {
        holders.push({dataCentre: name as DataCentreId, grant});
      }
    }
    const rank = (holder: Holder): number =>
      holder.dataCentre === cfg.dataCentre ? 0 : 1 + this.opts.random.next();
    return holders
      .map(holder => ({holder, rank: rank(holder)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({holder}) => holder);
  }

  private async submitTo(
    grant: SchedulerGrant,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const {instanceId} = grant;
    const {network} = this.node;
    if (instanceId === this.opts.cfg.instanceId) {
      const cancel = (): void => this.disown(job.id, instanceId);
      signal.addEventListener('abort', cancel, {once: true});
      const {outcome} = await this.scheduleFor(instanceId, job);
      signal.removeEventListener('abort', cancel);
      return outcome;
    }
    const timeoutMs = Math.max(1, job.leftMs) + ANSWER_SLACK_MS;
    try {
      const opts = {timeoutMs, signal};
      const res = await network.call(instanceId, 'scheduleJob', {job}, opts);
      if (res.outcome.kind === 'completed') {
        // This instance may be the next scheduler.
        res.outcome.samples.forEach(s => this.scheduler.learn(job.kind, s));
      }
      return res.outcome;
    } catch (err) {
      if (signal.aborted) {
        network.notify(instanceId, 'cancelJob', {jobId: job.id});
        return {kind: 'failed', reason: 'cancelled'};
      }
      this.opts.log.emit('schedulerLost', {
        jobId: job.id,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      return err instanceof PeerCallError && !err.maybeSent
        ? NO_SCHEDULER
        : LOST;
    }
  }

  private ownOf(holders: readonly Holder[]): Holder | undefined {
    const {dataCentre} = this.opts.cfg;
    return holders.find(holder => holder.dataCentre === dataCentre);
  }

  /** Whether a refusal comes of a scheduler that takes over just now. */
  private isTakeover(reason: JobRefusal): boolean {
    const sinceMs = this.opts.clock.now() - this.grantChangedMs;
    return (
      sinceMs < TAKEOVER_MS &&
      (reason === 'notScheduler' || reason === 'noTargets')
    );
  }

  /** A job as it is now, after time has passed here. */
  private aged(job: ScheduledJob, sinceMs: number): ScheduledJob {
    const spentMs = this.opts.clock.now() - sinceMs;
    return {
      ...job,
      ageMs: job.ageMs + spentMs,
      leftMs: job.leftMs - spentMs,
    };
  }

  /** When the tasks of a job would end in another data centre. */
  private async quoteOf(holder: Holder, job: ScheduledJob): Promise<JobQuote> {
    const {clock, log} = this.opts;
    const {network} = this.node;
    const {instanceId} = holder.grant;
    if (clock.now() < (this.unquotedUntil.get(instanceId) ?? 0)) {
      return NO_QUOTE;
    }
    const opts = {timeoutMs: QUOTE_TIMEOUT_MS};
    try {
      const res = await network.call(instanceId, 'quoteJob', {job}, opts);
      this.unquotedUntil.delete(instanceId);
      return res.quote;
    } catch (err) {
      this.unquotedUntil.set(instanceId, clock.now() + NO_QUOTE_PAUSE_MS);
      log.emit('noQuote', {
        jobId: job.id,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      return NO_QUOTE;
    }
  }

  /** Runs the parts of a job; one that fails ends the others. */
  private async submitParts(
    holders: readonly Holder[],
    parts: ReadonlyArray<ScheduledJob | undefined>,
    quotes: readonly JobQuote[],
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const ending = new AbortController();
    const cancel = (): void => ending.abort();
    signal.addEventListener('abort', cancel, {once: true});
    this.opts.log.emit('jobSplit', {
      jobId: parts.find(part => part)?.id,
      tasks: parts.map(part => part?.steps[0]?.count ?? 0),
      schedulers: holders.map(holder => holder.grant.instanceId),
      lastEndsMs: quotes.map(({endsMs}) => Math.round(Math.max(0, ...endsMs))),
      limitsMs: quotes.map(({limitMs}) => Math.round(limitMs)),
    });
    const outcomes = await Promise.all(
      holders.map(async (holder, i) => {
        const part = parts[i];
        if (!part) {
          return undefined;
        }
        const outcome = await this.submitUntilSettled(
          holder,
          part,
          ending.signal,
        );
        if (outcome.kind !== 'completed') {
          ending.abort();
        }
        return outcome;
      }),
    );
    signal.removeEventListener('abort', cancel);
    const ended = outcomes.filter(outcome => outcome !== undefined);
    const bad = ended.filter(outcome => outcome.kind !== 'completed');
    const failed = bad.find(outcome => outcome.kind === 'failed');
    if (bad.length === 0) {
      return {kind: 'completed', samples: []};
    }
    return bad.length === ended.length && !failed
      ? bad[0]!
      : (failed ?? {kind: 'failed', reason: 'schedulerLost'});
  }

  /** Runs a job at a scheduler, and at its successors if it ends meanwhile. */
  private async submitUntilSettled(
    holder: Holder,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<Exclude<JobOutcome, {kind: 'handedOver'}>> {
    const startedMs = this.opts.clock.now();
    let {grant} = holder;
    let placed = job.placed;
    for (;;) {
      const aged = {...this.aged(job, startedMs), placed};
      const outcome = await this.submitTo(grant, aged, signal);
      if (outcome.kind !== 'handedOver') {
        return placed && outcome.kind === 'refused' ? LOST : outcome;
      }
      placed = outcome.placed;
      const next = await this.successorOf(holder.dataCentre, grant, signal);
      if (!next) {
        return LOST;
      }
      this.opts.log.emit('jobHandedOver', {
        jobId: job.id,
        to: next.instanceId,
        token: next.token,
        placed: placed.length,
      });
      grant = next;
    }
  }

  /** Waits until another scheduler of a data centre can be reached. */
  private async successorOf(
    dataCentre: DataCentreId,
    former: SchedulerGrant,
    signal: AbortSignal,
  ): Promise<SchedulerGrant | undefined> {
    const {clock} = this.opts;
    const startedMs = clock.now();
    while (!signal.aborted && clock.now() - startedMs < MAX_SUCCESSOR_WAIT_MS) {
      const next = this.holders().find(h => h.dataCentre === dataCentre);
      if (next && next.grant.token > former.token) {
        return next.grant;
      }
      await clock.sleep(SUCCESSOR_POLL_MS);
    }
    return undefined;
  }

  private async scheduleFor(
    owner: InstanceId,
    job: ScheduledJob,
  ): Promise<{outcome: JobOutcome}> {
    const owners = this.owners.get(job.id) ?? new Set();
    owners.add(owner);
    this.owners.set(job.id, owners);
    const outcome = await this.scheduler.submit(job);
    this.owners.delete(job.id);
    return {outcome};
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

/** Who schedules a data centre's targets. */
interface Holder {
  readonly dataCentre: DataCentreId;
  readonly grant: SchedulerGrant;
}
