import type {
  BootId,
  DataCentreId,
  InstanceId,
  JobOutcome,
  PeerCalls,
  PeerNotices,
  ScheduledJob,
  ShardId,
  TargetId,
  TaskId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import type {TargetPort} from '@papayarun/scheduling';
import {longestLeaseMs, runsEndAfterLossMs} from '@papayarun/scheduling';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {
  EmulatedTarget,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {InterruptedJobRelay} from '../../interrupted_jobs/interrupted_job_relay.js';
import {InterruptedJobs} from '../../interrupted_jobs/interrupted_jobs.js';
import {JobRegistrar} from '../../registered_jobs/job_registrar.js';
import {JobRegistrations} from '../../registered_jobs/job_registrations.js';
import {JobSubmitter} from '../job_submitter.js';
import {LocalSchedulers} from '../local_schedulers.js';
import type {LocalSchedulersOptions} from '../local_schedulers_options.js';
import type {SchedulerFinder} from '../scheduler_finder.js';
import type {ShardScheduler} from '../shard_scheduler.js';
import {
  JOB,
  NEEDS,
  OTHER_ENTRIES,
  RUN_MS,
  SCHEDULERS,
} from './entry_group_values.js';

const CORES = 32;
const MAX_NETWORK_DELAY_MS = 1;
/** Delay of an order to a target, in milliseconds. */
const ORDER_DELAY_MS = 20;
const TIMING = {maxLeaseMs: 1_000, stopMs: 50, reportMs: 0, resendMs: 1_300};
const BOOT = 'b' as BootId;
const IN_FLIGHT_INTERVAL_MS = 5;
/** Steps of the clock in which a condition is waited for, in milliseconds. */
const STEP_MS = 0.05;

function dataCentreOf(instance: InstanceId): DataCentreId {
  return instance.split('-')[0] as DataCentreId;
}

/** Entry instance with the scheduler of its data centre, if it is granted. */
interface Entry {
  readonly id: InstanceId;
  readonly network: MemoryNetworkEnd;
  readonly schedulers: LocalSchedulers;
  readonly submitter: JobSubmitter;
  readonly interrupted: InterruptedJobs;
  readonly registrations: JobRegistrations;
  isKilled: boolean;
}

/**
 * Two entry instances in each of two data centres; the first one of each
 * schedules its targets.
 */
export class EntryGroup {
  readonly clock = VirtualClock.create();
  readonly concurrentRuns: TaskId[] = [];
  private startOrders = 0;
  private readonly log = SilentLog.create();
  private readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(4),
    MAX_NETWORK_DELAY_MS,
  );
  private readonly entries = new Map<InstanceId, Entry>();
  private readonly targets = new Map<TargetId, EmulatedTarget>();
  private readonly relays = new Map<InstanceId, InterruptedJobRelay>();
  private readonly registrars = new Map<InstanceId, JobRegistrar>();
  /** Time at which a scheduler has last heard an entry, if they are cut off. */
  private readonly lastHeardMs = new Map<string, number>();
  /** Entries with a data centre whose schedulers they can't reach. */
  private readonly unreachable = new Set<string>();

  /** Entries that have no links for now. */
  private readonly unlinked = new Set<InstanceId>();

  private constructor(
    private readonly runMs: number,
    stateInstances: readonly InstanceId[],
  ) {
    for (const id of stateInstances) {
      this.addStateInstance(id);
    }
    for (const id of [...SCHEDULERS, ...OTHER_ENTRIES]) {
      this.addEntry(id);
    }
  }

  /**
   * Creates the group.
   *
   * @param runMs - Run time of all tasks in milliseconds.
   * @param stateInstances - State instances, each linked to all entries.
   * @returns The running group.
   * @example
   * const group = EntryGroup.create(400, STATE_INSTANCES);
   */
  static create(
    runMs = RUN_MS,
    stateInstances: readonly InstanceId[] = [],
  ): EntryGroup {
    return new EntryGroup(runMs, stateInstances);
  }

  /** Submits a job by way of an entry. */
  submit(
    id: InstanceId,
    signal = new AbortController().signal,
    job = JOB,
  ): {outcome?: JobOutcome} {
    const answer: {outcome?: JobOutcome} = {};
    const {registrations, submitter} = this.entries.get(id)!;
    void registrations
      .run(job, () => submitter.submit(job, signal))
      .then(outcome => (answer.outcome = outcome));
    return answer;
  }

  /** Keeps an entry from using the schedulers of a data centre. */
  hide(dataCentre: DataCentreId, from: InstanceId): void {
    this.unreachable.add(`${from} ${dataCentre}`);
  }

  /**
   * Cuts an entry off from the scheduler of another one, which notices neither
   * the cut nor the end of the entry.
   */
  cutOff(entry: InstanceId, scheduler: InstanceId): void {
    this.lastHeardMs.set(`${scheduler} ${entry}`, this.clock.now());
    this.network.setCut(entry, scheduler, true);
    this.network.setCut(scheduler, entry, true);
  }

  /** Replaces the links of an entry, as when they were lost for a moment. */
  replaceLinks(id: InstanceId): void {
    for (const entry of this.entries.values()) {
      if (entry.id !== id) {
        this.handleLinkDown(entry, id);
        this.handleLinkDown(this.entries.get(id)!, entry.id);
      }
    }
    for (const [state, relay] of this.relays) {
      relay.recordLoss(id);
      this.registrars.get(state)!.recordLoss(id);
      this.handleLinkDown(this.entries.get(id)!, state);
    }
  }

  /** Has an entry lose all its links for a time, in milliseconds. */
  async loseLinks(id: InstanceId, forMs: number): Promise<void> {
    this.unlinked.add(id);
    this.replaceLinks(id);
    await this.clock.sleep(forMs);
    this.unlinked.delete(id);
    this.relays.forEach(relay => relay.recordLink(id));
    this.handleLinksUp(id);
  }

  /**
   * Ends the process of an entry; the others receive what it has sent and lose
   * their links to it.
   */
  async kill(id: InstanceId): Promise<void> {
    const killed = this.entries.get(id)!;
    killed.isKilled = true;
    killed.network.end();
    await this.clock.sleep(MAX_NETWORK_DELAY_MS);
    this.network.leave(id);
    for (const entry of this.entries.values()) {
      const isCutOff = this.lastHeardMs.has(`${entry.id} ${id}`);
      if (!entry.isKilled && !isCutOff) {
        this.handleLinkDown(entry, id);
      }
    }
    this.relays.forEach(relay => relay.recordLoss(id));
    this.registrars.forEach(registrar => registrar.recordLoss(id));
  }

  /** Starts a new process of an entry, which knows nothing of what was before. */
  start(id: InstanceId): void {
    this.addEntry(id);
    this.relays.forEach(relay => relay.recordLink(id));
    this.handleLinksUp(id);
  }

  /** Ends the process of a state instance; the entries lose their links to it. */
  async killStateInstance(id: InstanceId): Promise<void> {
    this.relays.delete(id);
    this.registrars.delete(id);
    this.network.leave(id);
    await this.clock.sleep(MAX_NETWORK_DELAY_MS);
    for (const entry of this.entries.values()) {
      if (!entry.isKilled) {
        this.handleLinkDown(entry, id);
      }
    }
  }

  /** Number of messages sent so far between instances. */
  get messageCount(): number {
    return this.network.messageCount;
  }

  /** Number of messages of a type sent so far, calls with their replies. */
  messageCountOf(type: keyof PeerCalls | keyof PeerNotices): number {
    return this.network.messageCounts.get(type) ?? 0;
  }

  /** Number of orders sent so far to start a task. */
  get startOrderCount(): number {
    return this.startOrders;
  }

  /** Advances the clock in small steps until a condition holds. */
  async advanceUntil(isReached: () => boolean): Promise<void> {
    await this.clock.advance(0);
    while (!isReached()) {
      await this.clock.advance(STEP_MS);
    }
  }

  startsOf(job: ScheduledJob): number {
    return [...this.targets.values()]
      .flatMap(target => target.starts)
      .filter(({taskId}) => taskId.startsWith(job.id)).length;
  }

  private handleLinkDown(entry: Entry, peer: InstanceId): void {
    entry.schedulers.cancelAllOf(peer, 'linkLost');
    entry.interrupted.recordLoss(peer);
    entry.registrations.recordLoss(peer);
  }

  private handleLinksUp(id: InstanceId): void {
    const entry = this.entries.get(id)!;
    for (const state of this.relays.keys()) {
      entry.interrupted.recordLink(state);
      void entry.registrations.recordLink(state);
    }
    for (const peer of this.liveEntries(id).keys()) {
      entry.interrupted.recordLink(peer);
      this.entries.get(peer)!.interrupted.recordLink(id);
    }
  }

  private addStateInstance(id: InstanceId): void {
    const network = this.network.join(id);
    const relay = InterruptedJobRelay.create({
      clock: this.clock,
      log: this.log,
      network,
      entries: () => this.liveEntries(id),
    });
    this.relays.set(id, relay);
    const registrar = JobRegistrar.create({clock: this.clock, network});
    this.registrars.set(id, registrar);
  }

  /** State instances that an entry is linked to. */
  private linkedRelays(self: InstanceId): InstanceId[] {
    return this.unlinked.has(self) ? [] : [...this.relays.keys()];
  }

  /** Entries that an instance is linked to. */
  private liveEntries(self: InstanceId): Map<InstanceId, DataCentreId> {
    const isUnlinked = this.unlinked.has(self);
    return new Map(
      [...this.entries.values()]
        .filter(
          ({id, isKilled}) =>
            id !== self && !isKilled && !isUnlinked && !this.unlinked.has(id),
        )
        .map(({id}) => [id, dataCentreOf(id)]),
    );
  }

  private addEntry(id: InstanceId): void {
    const network = this.network.join(id);
    const schedulers = this.createSchedulers(id);
    const interrupted = InterruptedJobs.create({
      self: id,
      dataCentre: dataCentreOf(id),
      clock: this.clock,
      random: SeededRandom.create(this.entries.size),
      log: this.log,
      network,
      entries: () => this.liveEntries(id),
      stateInstances: () => this.linkedRelays(id),
      inFlightKeepers: () =>
        new Map(
          this.linkedRelays(id).map(state => [
            state,
            {
              dataCentre: dataCentreOf(state),
              intervalMs: IN_FLIGHT_INTERVAL_MS,
            },
          ]),
        ),
      registrarOf: jobId => registrations.registrarOfOwn(jobId),
      runsEndAfterMs: runsEndAfterLossMs(TIMING),
    });
    const registrations = JobRegistrations.create({
      process: interrupted.processName,
      clock: this.clock,
      log: this.log,
      network,
      registrars: () => this.linkedRelays(id),
      runsEndAfterLossMs: runsEndAfterLossMs(TIMING),
    });
    const submitter = JobSubmitter.create({
      self: id,
      interrupted,
      registrations,
      finder: this.finder(id),
      network,
      clock: this.clock,
      log: this.log,
      keepAliveMs: 300,
      afterNextReading: () => Promise.resolve(this.clock.now()),
      longestLeaseMs: longestLeaseMs(TIMING),
      schedule: (shard, job, submissionId) =>
        schedulers.submit(id, shard, job, false, submissionId),
      quote: (shard, job) => schedulers.quote(shard, job),
      cancel: jobId => schedulers.cancel(id, jobId, 'notice'),
      recordRunTime: () => undefined,
    });
    network.onCall('scheduleJob', async (from, {job, shard, submissionId}) => ({
      outcome: await schedulers.submit(from, shard!, job, true, submissionId),
    }));
    network.onNotice('cancelJob', (from, {jobId}) =>
      schedulers.cancel(from, jobId, 'notice'),
    );
    this.entries.set(id, {
      id,
      network,
      schedulers,
      submitter,
      interrupted,
      registrations,
      isKilled: false,
    });
  }

  private finder(self: InstanceId): SchedulerFinder {
    const reachable = (): ShardScheduler[] =>
      SCHEDULERS.filter(
        id =>
          !this.entries.get(id)!.isKilled &&
          !this.unreachable.has(`${self} ${dataCentreOf(id)}`),
      ).map(instanceId => ({
        shard: dataCentreOf(instanceId) as string as ShardId,
        dataCentre: dataCentreOf(instanceId),
        grant: {instanceId, boot: BOOT, token: 1},
      }));
    const finder: Partial<SchedulerFinder> = {
      reachable,
      reachableInService: reachable,
      areAllEvacuated: () => false,
      isAnyEvacuated: () => false,
      // Without a scheduler of its own data centre, an entry takes another one.
      firstChoices: () => {
        const schedulers = reachable();
        const own = schedulers.filter(
          ({dataCentre}) => dataCentre === dataCentreOf(self),
        );
        return own.length > 0 ? own : [...schedulers];
      },
      isTakeoverRefusal: () => false,
      recordGrantChange: () => undefined,
      waitForSuccessor: () => Promise.resolve(undefined),
    };
    return finder as SchedulerFinder;
  }

  private createSchedulers(self: InstanceId): LocalSchedulers {
    const dataCentre = dataCentreOf(self);
    const shard = dataCentre as string as ShardId;
    const ignore = (): void => undefined;
    const isGranted = SCHEDULERS.includes(self);
    const grants = {[shard]: {instanceId: self, boot: BOOT, token: 1}};
    const schedulers = LocalSchedulers.create({
      self,
      dataCentre,
      targetClient: this.port(self),
      timing: TIMING,
      store: {
        state: {
          schedulers: isGranted ? grants : {},
          targetShards: {},
          evacuations: {},
        },
      } as unknown as LocalSchedulersOptions['store'],
      clock: this.clock,
      log: this.log,
      metrics: {
        recordJob: ignore,
        recordForecastError: ignore,
        recordFreeSlots: ignore,
      },
      loopLagMs: () => 0,
      heardMs: requester =>
        this.lastHeardMs.get(`${self} ${requester}`) ?? this.clock.now(),
      isHolderActive: () => false,
      catchUp: () => undefined,
      otherRunsForMs: (jobId, isKnown) =>
        this.entries.get(self)!.interrupted.otherRunsForMs(jobId, isKnown),
      onAdmitted: () => this.entries.get(self)!.interrupted.recordAdmission(),
      onRequesterLost: (jobId, submissionId) =>
        this.entries
          .get(self)!
          .interrupted.recordLostRequester(jobId, submissionId),
      onLostSubmissionEnded: (jobId, submissionId) => {
        const {interrupted, registrations} = this.entries.get(self)!;
        interrupted.recordEnd(jobId, submissionId);
        registrations.recordRunsEnd(jobId, submissionId);
      },
      onTaskLost: ignore,
    });
    schedulers.applyGrants(BOOT);
    if (isGranted) {
      this.addTarget(schedulers, shard);
    }
    return schedulers;
  }

  private addTarget(schedulers: LocalSchedulers, shard: ShardId): void {
    const targetId = `i-${shard}` as TargetId;
    this.targets.set(
      targetId,
      EmulatedTarget.create(
        this.clock,
        SeededRandom.create(1),
        CORES,
        TIMING.maxLeaseMs,
        () => this.runMs,
      ),
    );
    schedulers.acceptReport(shard, {
      targetId,
      bornMs: 1,
      sequence: 1,
      state: 'ready',
      service: JOB.service,
      dataCentre: shard as string as DataCentreId,
      host: '127.0.0.1',
      port: 1,
      capacity: {cores: CORES, memoryMb: 1_024, accelerators: 0},
      labels: [],
    });
  }

  /**
   * Orders of an entry, which nothing sends or answers once it is killed. Orders
   * to start that it has sent arrive.
   */
  private port(self: InstanceId): TargetPort {
    const stopIfKilled = async (): Promise<void> => {
      if (this.entries.get(self)!.isKilled) {
        await new Promise<never>(() => undefined);
      }
    };
    const pass = async (delayMs: number): Promise<void> => {
      await this.clock.sleep(delayMs);
      await stopIfKilled();
    };
    return {
      start: async (to, {taskId, run, token, leaseEndMs}) => {
        await stopIfKilled();
        this.startOrders++;
        await this.clock.sleep(1);
        if ([...this.targets.values()].some(t => t.isRunning(taskId))) {
          this.concurrentRuns.push(taskId);
        }
        const target = this.targets.get(to.targetId)!;
        const res = target.start(taskId, run, NEEDS.cores, token, leaseEndMs);
        await stopIfKilled();
        return res;
      },
      stop: async (to, {taskId, run, token}) => {
        await pass(ORDER_DELAY_MS);
        return this.targets.get(to.targetId)!.stop(taskId, run, token);
      },
      hold: async (to, {token, lastSeenEnd, leaseEndMs, waitMs}) => {
        const target = this.targets.get(to.targetId)!;
        target.hold(token, lastSeenEnd, leaseEndMs);
        const endMs = this.clock.now() + waitMs;
        do {
          await pass(2);
        } while (this.clock.now() < endMs && !target.hasEndAfter(lastSeenEnd));
        const res = target.hold(token, lastSeenEnd, leaseEndMs)!;
        return {kind: 'held', bornMs: 1, ...res};
      },
      closeConnections: () => undefined,
    };
  }
}
