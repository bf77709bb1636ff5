import type {
  JobId,
  JobOutcome,
  KindId,
  RandomSource,
  ScheduledJob,
  ServiceId,
  ShardId,
  TargetId,
  TaskId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {
  clairvoyantBound,
  jobValues,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {CrashEvidence} from '../crash_evidence/crash_evidence.js';
import {RunTimeEstimator} from '../run_time_estimator/run_time_estimator.js';
import {Scheduler} from '../scheduler/scheduler.js';
import {splitJob} from '../split_job/split_job.js';
import type {TargetPort} from '../target_port/target_port.js';
import type {LoadJobEnd} from './load_job_end.js';
import type {LoadKind} from './load_kind.js';
import {LoadLoop} from './load_loop.js';
import type {LoadOptions} from './load_options.js';
import type {LoadShape} from './load_shape.js';
import type {LoadTally} from './load_tally.js';
import {LoadTarget} from './load_target.js';
import {reportOf} from './report_of.js';
import type {TaskWork} from './task_work.js';

/** Multiple of the objective after which an answer earns no credit. */
const NO_CREDIT_FACTOR = 3;
/** Credit of an answer after its objective; an answer in time counts 1. */
const LATE_CREDIT = 0.2;
/** Multiple of the objective after which some callers leave. */
const LEAVING_FACTOR = 0.7;
const SECOND_MS = 1_000;
const SERVICE = 'falhas' as ServiceId;

/**
 * Shards under a load, with entries that split jobs over them, on a virtual
 * clock.
 */
export class LoadSimulation {
  readonly clock = VirtualClock.create();
  readonly sumTallies = new Map<string, LoadTally>();
  readonly jobEnds: LoadJobEnd[] = [];
  private readonly random: RandomSource;
  private readonly taskWork = new Map<TaskId, TaskWork>();
  private readonly targets = new Map<TargetId, LoadTarget>();
  private readonly schedulers: Scheduler[] = [];
  private jobCount = 0;

  private readonly log = SilentLog.create();

  private constructor(
    private readonly shape: LoadShape,
    seed: number,
    private readonly opts: LoadOptions,
  ) {
    this.random = SeededRandom.create(seed);
  }

  static create(
    shape: LoadShape,
    seed: number,
    opts: LoadOptions,
  ): LoadSimulation {
    return new LoadSimulation(shape, seed, opts);
  }

  /**
   * Plays the load until all callers have left.
   *
   * @param rateOf - Rate of a kind at a time from the start, in jobs a second;
   *   0 for none in the next 100 ms.
   */
  async run(rateOf: (kind: LoadKind, atMs: number) => number): Promise<void> {
    this.startSchedulers();
    await this.clock.advance(20);
    const startMs = this.clock.now();
    const endMs = startMs + this.opts.loadMs;
    for (const kind of this.shape.kinds) {
      this.sumTallies.set(kind.name, {
        submitted: 0,
        inTime: 0,
        late: 0,
        refused: 0,
        failed: 0,
        refusedLate: 0,
        largeSubmitted: 0,
        largeInTime: 0,
      });
      void this.generateArrivals(kind, startMs, endMs, rateOf);
    }
    await this.clock.advance(
      endMs - startMs + (this.opts.leftMs ?? 6 * SECOND_MS),
    );
  }

  tally(name: string): LoadTally {
    return this.sumTallies.get(name)!;
  }

  /** Runs that were stopped as stragglers, as in the event. */
  get stops(): Array<Readonly<Record<string, unknown>>> {
    return this.log.events
      .filter(({name}) => name === 'stragglerStopped')
      .map(({fields}) => fields);
  }

  /**
   * Credit of the jobs in their score, and the bound of any schedule of them.
   */
  score(): {readonly credit: number; readonly bound: number} {
    const values = jobValues(this.jobEnds);
    let credit = 0;
    this.jobEnds.forEach(({tookMs, objectiveMs}, n) => {
      const share =
        tookMs === undefined ? 0 : tookMs <= objectiveMs ? 1 : LATE_CREDIT;
      credit += share * values[n]!;
    });
    const jobs = this.jobEnds.map((job, n) => ({
      atMs: job.atMs,
      objectiveAtMs: job.atMs + Math.min(job.objectiveMs, job.leftMs),
      deadlineAtMs: job.atMs + job.leftMs,
      value: values[n]!,
      cores: job.cores,
      workMs: job.workMs,
    }));
    return {credit, bound: clairvoyantBound(jobs, [...this.targets.values()])};
  }

  private startSchedulers(): void {
    const {shards, targetsEach, targetOf} = this.shape;
    for (let d = 0; d < shards; d++) {
      const loop = new LoadLoop(this.clock, this.opts.eventMs);
      const scheduler = Scheduler.create({
        targetClient: this.port(loop),
        clock: this.clock,
        log: this.log,
        timing: {maxLeaseMs: SECOND_MS, stopMs: 50, reportMs: 0},
        shard: `d${d}` as ShardId,
        estimator: RunTimeEstimator.create(),
        crashes: CrashEvidence.create(() => undefined),
        shardCount: () => shards,
        ownsTarget: () => true,
        loopLagMs: () => loop.lagMs,
        onFenced: () => undefined,
        onOutcome: () => undefined,
        ...this.opts.scheduler,
      });
      scheduler.begin(1);
      for (let t = 0; t < targetsEach; t++) {
        const targetId = `d${d}-t${t}` as TargetId;
        const {cores, slowness} = targetOf(d, t);
        this.targets.set(
          targetId,
          new LoadTarget(
            this.clock,
            cores,
            slowness,
            id => this.taskWork.get(id)!,
            () =>
              targetId === this.opts.hungTarget &&
              this.clock.now() > (this.opts.hungFromMs ?? 0),
          ),
        );
        scheduler.acceptReport({
          ...reportOf(targetId),
          capacity: {cores, memoryMb: 131_072, accelerators: 0},
        });
      }
      this.schedulers.push(scheduler);
    }
  }

  private port(loop: LoadLoop): TargetPort {
    const after = async <T>(act: () => T | Promise<T>): Promise<T> => {
      await loop.handleEvent();
      await this.clock.sleep(1);
      const result = await act();
      await loop.handleEvent();
      return result;
    };
    const at = (id: TargetId): LoadTarget => this.targets.get(id)!;
    return {
      start: (to, order) => after(() => at(to.targetId).start(order)),
      stop: (to, order) =>
        after(() => {
          at(to.targetId).close(order.taskId, 'stopped');
          return {kind: 'accepted', clockMs: this.clock.now()} as const;
        }),
      hold: (to, order) => after(() => at(to.targetId).hold(order)),
      closeConnections: () => undefined,
    };
  }

  private async generateArrivals(
    kind: LoadKind,
    startMs: number,
    endMs: number,
    rateOf: (kind: LoadKind, atMs: number) => number,
  ): Promise<void> {
    while (this.clock.now() < endMs) {
      const rate = rateOf(kind, this.clock.now() - startMs);
      if (rate === 0) {
        await this.clock.sleep(SECOND_MS / 10);
        continue;
      }
      const gapMs = (-Math.log(1 - this.random.next()) * SECOND_MS) / rate;
      await this.clock.sleep(gapMs);
      void this.submitJob(kind);
    }
  }

  private async submitJob(kind: LoadKind): Promise<void> {
    const id = (++this.jobCount).toString(16).padStart(16, '0') as JobId;
    const workMs = kind.runMs * this.logNormalFactor(kind.runSigma);
    const count = Math.max(
      1,
      Math.round(kind.width * this.logNormalFactor(kind.widthSigma)),
    );
    const {mean, sigma, max} = kind.cores;
    const cores = Math.min(max, mean * this.logNormalFactor(sigma));
    let chainMs = 0;
    let sumMs = 0;
    for (let i = 0; i < count; i++) {
      const isLong =
        this.opts.longShare !== undefined &&
        this.random.next() < this.opts.longShare;
      const taskMs =
        workMs *
        this.logNormalFactor(0.15) *
        (isLong ? (this.opts.longFactor ?? 1) : 1);
      chainMs = Math.max(chainMs, taskMs);
      sumMs += taskMs;
      this.taskWork.set(`${id}.0.0.${i}` as TaskId, {cores, workMs: taskMs});
    }
    const objectiveMs =
      this.shape.stretch * (kind.rounds ?? 1) * chainMs + this.shape.slackMs;
    const {leftMs = kind.leftMs} = this.opts;
    const job = this.jobOf(
      {...kind, leftMs},
      id,
      count,
      cores,
      workMs * this.logNormalFactor(0.4),
    );
    const tally = this.tally(kind.name);
    const isLarge = cores > this.shape.largeCores;
    tally.submitted++;
    tally.largeSubmitted += isLarge ? 1 : 0;
    const submittedMs = this.clock.now();
    const first = this.firstShard();
    const leavesMs = this.leavesAfterMs(objectiveMs, leftMs);
    if (leavesMs < leftMs) {
      void this.clock
        .sleep(leavesMs)
        .then(() => this.schedulers.forEach(s => s.cancel(id)));
    }
    const end = await this.submitUntilTaken(job, first, leavesMs);
    const tookMs = this.clock.now() - submittedMs;
    this.jobEnds.push({
      kind: kind.name,
      atMs: submittedMs,
      objectiveMs,
      leftMs: leavesMs,
      cores,
      workMs: sumMs,
      tookMs: end === 'completed' && tookMs <= leavesMs ? tookMs : undefined,
    });
    if (end === 'completed') {
      const isInTime = tookMs <= objectiveMs;
      tally.inTime += isInTime ? 1 : 0;
      tally.largeInTime += isInTime && isLarge ? 1 : 0;
      tally.late +=
        !isInTime && tookMs <= NO_CREDIT_FACTOR * objectiveMs ? 1 : 0;
    } else {
      tally[end]++;
      tally.refusedLate +=
        end === 'refused' && tookMs > objectiveMs / 4 ? 1 : 0;
    }
  }

  private firstShard(): number {
    const {hotShare} = this.opts;
    if (hotShare !== undefined && this.random.next() < hotShare) {
      return 0;
    }
    return Math.floor(this.random.next() * this.shape.shards);
  }

  /** Time after which a caller leaves, in milliseconds. */
  private leavesAfterMs(objectiveMs: number, leftMs: number): number {
    const {leavingShare} = this.opts;
    return leavingShare !== undefined && this.random.next() < leavingShare
      ? Math.min(leftMs, LEAVING_FACTOR * objectiveMs)
      : leftMs;
  }

  /** Submits a job; a caller that returns does so while it has time. */
  private async submitUntilTaken(
    job: ScheduledJob,
    first: number,
    leavesMs: number,
  ): Promise<'completed' | 'refused' | 'failed'> {
    const startMs = this.clock.now();
    for (;;) {
      const ageMs = this.clock.now() - startMs;
      const left = {...job, ageMs, leftMs: job.leftMs - ageMs};
      const outcome = await this.submit(left, first);
      if (outcome.kind !== 'refused') {
        return outcome.kind === 'completed' ? 'completed' : 'failed';
      }
      const againMs = this.clock.now() - startMs + outcome.retryAfterMs;
      if (!this.opts.areReturning || againMs >= leavesMs) {
        return 'refused';
      }
      await this.clock.sleep(outcome.retryAfterMs);
    }
  }

  /** Submits a job as an entry does: to its own shard first, then split. */
  private async submit(job: ScheduledJob, first: number): Promise<JobOutcome> {
    const {shards, otherQuotes} = this.shape;
    const order = this.schedulers
      .map((_s, i) => this.schedulers[(first + i) % shards]!)
      .slice(0, 1 + otherQuotes);
    const own = await order[0]!.submit(job);
    if (own.kind !== 'refused') {
      return own;
    }
    await this.clock.sleep(2);
    const quotes = order.map((scheduler, i) =>
      i === 0 ? own.quote : scheduler.quote(job),
    );
    const parts = splitJob(job, quotes);
    if (!parts) {
      return own;
    }
    const outcomes = await Promise.all(
      parts.map((part, i) => part && order[i]!.submit(part)),
    );
    const ended = outcomes.filter(outcome => outcome !== undefined);
    const isAll = (kind: JobOutcome['kind']): boolean =>
      ended.every(outcome => outcome.kind === kind);
    return isAll('completed') || isAll('refused')
      ? ended[0]!
      : {kind: 'failed', reason: 'taskFailed'};
  }

  private jobOf(
    kind: LoadKind,
    id: JobId,
    count: number,
    cores: number,
    estimateMs: number,
  ): ScheduledJob {
    const needs = {cores, memoryMb: 64, accelerators: 0};
    return {
      id,
      kind: kind.name as KindId,
      service: SERVICE,
      spec: '',
      steps: [{count, firstIndex: 0, needs, estimateMs, after: []}],
      priority: kind.priority,
      maxAttempts: 4,
      stretch: this.shape.stretch,
      slackMs: this.shape.slackMs,
      ageMs: 0,
      leftMs: kind.leftMs,
      isPromised: false,
    };
  }

  /**
   * Log-normal factor with mean 1; `sigma` is the standard deviation of its
   * logarithm.
   */
  private logNormalFactor(sigma: number): number {
    const u = 1 - this.random.next();
    const v = this.random.next();
    const normal = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
    return Math.exp(sigma * normal - (sigma * sigma) / 2);
  }
}
