import type {
  JobFailure,
  JobId,
  JobOutcome,
  JobQuote,
  JobRefusal,
  KindId,
  RunTimeSample,
  ScheduledJob,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import {NO_QUOTE} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import type {LaneHost} from '../_lib/lane_host.js';
import type {RunRecord} from '../_lib/run_record.js';
import type {TaskRecord} from '../_lib/task_record.js';
import {createJobRecord} from '../_lib/create_job_record.js';
import {hasWaitingTask} from '../_lib/has_waiting_task.js';
import {compareWaiting} from '../_lib/compare_waiting.js';
import {jobKey} from '../_lib/job_key.js';
import {mayHaveRun} from '../_lib/may_have_run.js';
import {placedTasks} from '../_lib/placed_tasks.js';
import {placesFor} from '../_lib/places_for.js';
import {roomFor} from '../_lib/room_for.js';
import {TargetLane} from '../_lib/target_lane.js';
import {admitJob} from '../admit_job/admit_job.js';
import type {Admission} from '../admit_job/admission.js';
import {chooseTarget} from '../choose_target/choose_target.js';
import {expectedEnds} from '../expected_ends/expected_ends.js';
import {keptPlaces} from '../kept_places/kept_places.js';
import {LoadMeter} from '../load_meter/load_meter.js';
import {RunEstimates} from '../run_estimates/run_estimates.js';
import type {EndReport} from '../target_port/end_report.js';
import type {SchedulerOptions} from './scheduler_options.js';

/** Period of the checks for stragglers and passed deadlines, in ms. */
const WATCH_PERIOD_MS = 40;
/** A target is asked about a run after this many times its expected time... */
const OVERDUE_FACTOR = 1.5;
/** ...and this much more, in ms. */
const OVERDUE_SLACK_MS = 40;
/** A run is a straggler after this many times its expected time... */
const STRAGGLER_FACTOR = 4;
/** ...and this much more, in ms. */
const STRAGGLER_SLACK_MS = 150;
/** Time before a caller leaves at which its job is given up, in ms. */
const ANSWER_MARGIN_MS = 20;
/** Time for a target to say whether a claimed task runs there, in ms. */
const CLAIM_TIMEOUT_MS = 400;
/** Silence of a target that is neither heard nor reported, in ms. */
const FORGET_TARGET_MS = 10_000;
/** Completed jobs whose outcome is kept for callers that send again. */
const MAX_KEPT_OUTCOMES = 1_024;
/** Run times that an outcome carries at most. */
const MAX_SAMPLES = 2;
/** Objectives after which a job's end is too late to take it for. */
const LATE_FACTOR = 1.5;
/** Time without a new target after which all count as known, in ms. */
const SETTLED_AFTER_MS = 300;
/** Wait for a place from which other data centres are asked, in ms. */
const ASK_OTHERS_MS = 5;
/** When a caller may come back while a scheduler takes over, in ms. */
const TAKEOVER_RETRY_MS = 500;

/**
 * Schedules the tasks of jobs on the targets of a data centre.
 *
 * @description Active while the instance holds the data centre's grant. All
 * decisions of waiting, refusing and placing are made by pure functions; this
 * class keeps the state they work on.
 */
export class Scheduler {
  private readonly estimates = RunEstimates.create();
  private readonly load = LoadMeter.create();
  private readonly jobs = new Map<string, JobRecord>();
  private readonly lanes = new Map<TargetId, TargetLane>();
  private readonly kept = new Map<string, JobOutcome>();
  /** Jobs with waiting tasks; sorted before each round of placing. */
  private waiting: JobRecord[] = [];
  private host: LaneHost | undefined;
  private ending = new AbortController();
  private sequence = 0;
  private begunMs = -Infinity;
  /** Monotonic time at which it last heard of a new target. */
  private targetAddedMs = -Infinity;
  private isPumpDue = false;

  private constructor(private readonly opts: SchedulerOptions) {}

  /**
   * Makes a scheduler that holds no grant.
   *
   * @param opts - Way to the targets, clock, log and timing.
   * @returns The scheduler.
   * @example
   * const scheduler = Scheduler.create(opts);
   * scheduler.begin(7);
   */
  static create(opts: SchedulerOptions): Scheduler {
    return new Scheduler(opts);
  }

  /** Fencing token of the grant that it works under. */
  get token(): number | undefined {
    return this.host?.token;
  }

  /** Jobs that have a task which waits. */
  get waitingJobs(): number {
    return this.waiting.length;
  }

  get runningTasks(): number {
    let count = 0;
    for (const lane of this.lanes.values()) {
      count += lane.runs.size;
    }
    return count;
  }

  get targets(): number {
    return this.lanes.size;
  }

  /**
   * Takes over under a grant; targets are asked for their runs first.
   *
   * @param token - Fencing token of the grant.
   */
  begin(token: number): void {
    if (this.host && this.host.token >= token) {
      return;
    }
    this.end();
    this.ending = new AbortController();
    this.host = {
      port: this.opts.port,
      clock: this.opts.clock,
      log: this.opts.log,
      timing: this.opts.timing,
      token,
      ended: (run, how) => this.runEnded(run, how),
      notRun: (run, reason) => this.runVoid(run, reason),
      fenced: () => this.fenced(token),
      changed: () => this.pumpSoon(),
    };
    this.begunMs = this.opts.clock.now();
    this.opts.log.emit('schedulerBegun', {token});
    void this.watch(this.ending.signal);
  }

  /** Gives the grant up; jobs go to the next scheduler by their entries. */
  end(): void {
    const {host} = this;
    if (!host) {
      return;
    }
    this.host = undefined;
    this.ending.abort();
    for (const lane of this.lanes.values()) {
      lane.end();
    }
    this.lanes.clear();
    for (const record of [...this.jobs.values()]) {
      this.conclude(
        record,
        mayHaveRun(record)
          ? {kind: 'handedOver', placed: placedTasks(record)}
          : refusal('notScheduler'),
      );
    }
    this.opts.log.emit('schedulerEnded', {token: host.token});
  }

  /**
   * Takes in what a target says of itself.
   *
   * @param report - The report.
   * @returns Whether this scheduler takes care of the target.
   */
  accept(report: TargetReport): boolean {
    if (!this.host) {
      return false;
    }
    const lane = this.lanes.get(report.targetId);
    if (lane && lane.report.bornMs > report.bornMs) {
      return true;
    }
    if (lane && lane.report.bornMs === report.bornMs) {
      lane.update(report);
      if (report.state !== 'ready') {
        this.opts.log.emit('targetLeaving', {
          target: report.targetId,
          state: report.state,
        });
      }
      this.pumpSoon();
      return true;
    }
    if (lane) {
      lane.loseRuns();
      this.removeLane(lane, 'restarted');
    }
    if (report.state !== 'gone') {
      this.lanes.set(report.targetId, TargetLane.create(this.host, report));
      this.targetAddedMs = this.opts.clock.now();
      this.opts.log.emit('targetAdded', {target: report.targetId});
    }
    return true;
  }

  /**
   * Runs a job, or refuses it at once.
   *
   * @param job - The job.
   * @returns How it ended; a job that is here already is joined.
   */
  submit(job: ScheduledJob): Promise<JobOutcome> {
    const key = jobKey(job);
    const present = this.jobs.get(key);
    if (present) {
      return present.outcome;
    }
    const kept = this.kept.get(key);
    if (kept) {
      return Promise.resolve(kept);
    }
    if (!this.host) {
      return Promise.resolve(refusal('notScheduler'));
    }
    const nowMs = this.opts.clock.now();
    const {record, places, room} = this.prepare(job, nowMs);
    this.claimOrphans(record);
    if (!mayHaveRun(record) && !job.isPromised) {
      const admission = this.admission(record, places, room, nowMs);
      if (admission.kind === 'refused') {
        record.isOver = true;
        this.note(record, admission);
        return Promise.resolve(admission);
      }
      if (startsAfterMs(admission.quote, record) > ASK_OTHERS_MS) {
        // Not final: the entry shares it out, and comes back with a promise.
        record.isOver = true;
        return Promise.resolve(refusal('wouldWait', admission.quote));
      }
    }
    const workMs = record.tasks.reduce(
      (sum, t) => sum + record.expectedMs[t.step]!,
      0,
    );
    this.load.add(job.priority, workMs, nowMs);
    this.jobs.set(key, record);
    this.unblock(record);
    this.completeIfDone(record);
    this.pump();
    return record.outcome;
  }

  /**
   * Learns a run time, of this scheduler's tasks or another's.
   *
   * @param kind - Kind of the job.
   * @param sample - What a task of it took.
   */
  learn(kind: KindId, sample: RunTimeSample): void {
    this.estimates.learn(kind, sample.declaredMs, sample.ranMs);
  }

  /**
   * When the tasks of a job would end here.
   *
   * @param job - The job, which is not taken by this.
   * @returns The quote; an empty one without the grant.
   */
  quote(job: ScheduledJob): JobQuote {
    if (!this.host) {
      return NO_QUOTE;
    }
    const nowMs = this.opts.clock.now();
    const {record, places, room} = this.prepare(job, nowMs);
    return this.admission(record, places, room, nowMs).quote;
  }

  /**
   * Gives a job up, since nobody waits for it any more.
   *
   * @param jobId - The job.
   */
  cancel(jobId: JobId): void {
    for (const record of [...this.jobs.values()]) {
      if (record.job.id === jobId) {
        this.fail(record, 'cancelled');
      }
    }
  }

  private prepare(
    job: ScheduledJob,
    nowMs: number,
  ): {
    readonly record: JobRecord;
    readonly places: readonly number[];
    readonly room: number;
  } {
    const expectedMs = job.steps.map(step =>
      this.estimates.expect(job.kind, step.estimateMs),
    );
    const places = placesFor(job, this.lanes.values(), nowMs);
    const sequence = ++this.sequence;
    const room = roomFor(job, this.lanes.values());
    // Objectives count the room of the whole service, and data centres are
    // taken to be alike.
    const total = room * Math.max(1, this.opts.dataCentres());
    return {
      record: createJobRecord(job, expectedMs, sequence, total, nowMs),
      places,
      room,
    };
  }

  private admission(
    record: JobRecord,
    places: readonly number[],
    room: number,
    nowMs: number,
  ): Admission {
    const {job, expectedMs} = record;
    const aheadMs: number[] = [];
    for (const other of this.waiting) {
      if (other.job.priority <= job.priority) {
        for (const task of other.tasks) {
          if (task.state === 'waiting') {
            aheadMs.push(other.expectedMs[task.step]!);
          }
        }
      }
    }
    const ownMs = record.tasks.map(task => expectedMs[task.step]!);
    const busy = this.load.busyAbove(job.priority, nowMs);
    return admitJob({
      places: room,
      chainMs: record.chainMs,
      endsMs: expectedEnds(places, aheadMs, ownMs),
      busyAbove: busy / Math.max(1, room),
      objectiveLeftMs: record.objectiveAtMs - nowMs,
      // From now on: a job may have waited for this scheduler to take over.
      usefulLeftMs:
        LATE_FACTOR * (record.objectiveAtMs - record.receivedMs + job.ageMs),
      callerLeftMs: record.callerLeavesAtMs - nowMs,
      waitingJobs: this.waiting.length,
      isSettling: this.isSettling(nowMs),
    });
  }

  /** Whether it has begun just now and still hears of further targets. */
  private isSettling(nowMs: number): boolean {
    return (
      nowMs - this.begunMs < this.opts.timing.reportMs &&
      nowMs - this.targetAddedMs < SETTLED_AFTER_MS
    );
  }

  /** Marks tasks that run already, ordered by an earlier scheduler. */
  private claimOrphans(record: JobRecord): void {
    for (const lane of this.lanes.values()) {
      if (!lane.hasOrphans) {
        continue;
      }
      for (const task of record.tasks) {
        if (task.state !== 'done' && lane.knowsOrphan(task.taskId)) {
          task.state = 'claimed';
          task.claimedAt = lane.report.targetId;
        }
      }
    }
  }

  /** Takes over claimed tasks from targets that have answered. */
  private settleClaims(record: JobRecord): void {
    for (const task of record.tasks) {
      const lane =
        task.state === 'claimed' && task.claimedAt !== undefined
          ? this.lanes.get(task.claimedAt)
          : undefined;
      if (!lane?.isConfirmed) {
        continue;
      }
      const found = lane.adopt(task.taskId);
      switch (found?.kind) {
        case 'running': {
          const run = this.makeRun(task, lane, found.run, true);
          run.state = 'running';
          run.confirmedMs = run.orderedMs;
          task.nextRun = Math.max(task.nextRun, found.run + 1);
          task.state = 'placed';
          task.run = run;
          lane.attach(run);
          break;
        }
        case 'ended':
          task.state = found.end.how === 'done' ? 'done' : 'waiting';
          break;
        case undefined:
          // An order on its way there is fenced off by now.
          task.state = 'waiting';
          break;
        default:
          found satisfies never;
      }
      this.opts.log.emit('taskAdopted', {
        taskId: task.taskId,
        target: lane.report.targetId,
        state: task.state,
      });
    }
    this.completeIfDone(record);
  }

  private enqueue(record: JobRecord): void {
    if (record.isOver || this.waiting.includes(record)) {
      return;
    }
    this.waiting.push(record);
  }

  private pumpSoon(): void {
    if (!this.isPumpDue) {
      this.isPumpDue = true;
      queueMicrotask(() => {
        this.isPumpDue = false;
        this.pump();
      });
    }
  }

  /** Places waiting tasks, in the order of the jobs. */
  private pump(): void {
    if (!this.host || this.waiting.length === 0) {
      return;
    }
    const options = this.options();
    const nowMs = this.opts.clock.now();
    this.waiting.sort((a, b) => compareWaiting(a, b, nowMs));
    const places = countPlaces(options);
    const busy = this.load.busyAbove(Infinity, nowMs);
    for (const record of [...this.waiting]) {
      this.settleClaims(record);
      const busyAbove = this.load.busyAbove(record.job.priority, nowMs);
      const kept = keptPlaces({busyAbove, busy, room: places.room});
      for (const task of record.tasks) {
        const mayPlace = kept === 0 || places.free > kept;
        if (task.state === 'waiting' && mayPlace && this.place(task, options)) {
          places.free--;
        }
      }
    }
    this.waiting = this.waiting.filter(hasWaitingTask);
  }

  private options(): LaneOption[] {
    const options: LaneOption[] = [];
    for (const lane of this.lanes.values()) {
      if (lane.isOpen) {
        options.push({
          lane,
          targetId: lane.report.targetId,
          free: lane.free(),
          slowness: lane.slowness,
          isSuspect: lane.trust.kind === 'suspect',
          runs: lane.runs.size,
        });
      }
    }
    return options;
  }

  private place(task: TaskRecord, options: LaneOption[]): boolean {
    const {needs} = task.job.job.steps[task.step]!;
    const usable = options.filter(({lane}) => isAllowed(task, lane));
    const chosen = chooseTarget(usable, needs);
    if (!chosen) {
      return false;
    }
    const {lane} = chosen;
    const run = this.makeRun(task, lane, task.nextRun++, false);
    task.state = 'placed';
    task.run = run;
    void lane.start(run);
    chosen.free = lane.free();
    chosen.runs = lane.runs.size;
    if (this.opts.log.decisions) {
      this.opts.log.emit('taskPlaced', {
        taskId: task.taskId,
        run: run.run,
        target: lane.report.targetId,
        waitedMs: Math.round(this.opts.clock.now() - task.job.receivedMs),
        slowness: Number(lane.slowness.toFixed(2)),
      });
    }
    return true;
  }

  private makeRun(
    task: TaskRecord,
    lane: TargetLane,
    run: number,
    isAdopted: boolean,
  ): RunRecord {
    return {
      task,
      run,
      lane,
      needs: task.job.job.steps[task.step]!.needs,
      state: 'starting',
      orderedMs: this.opts.clock.now(),
      confirmedMs: undefined,
      expectedMs: task.job.expectedMs[task.step]! * lane.slowness,
      leaseEndMs: lane.leaseEnd(),
      isOverdue: false,
      isAdopted,
      isAbandoned: false,
    };
  }

  private runEnded(run: RunRecord, how: EndReport['how']): void {
    const {task, lane} = run;
    task.job.hasRun = true;
    const ranMs = this.opts.clock.now() - (run.confirmedMs ?? run.orderedMs);
    if (how === 'done' && !run.isAbandoned && !run.isAdopted) {
      const {job, expectedMs, samples} = task.job;
      const declaredMs = job.steps[task.step]!.estimateMs;
      const sample = {declaredMs, ranMs: ranMs / lane.slowness};
      this.learn(job.kind, sample);
      if (samples.length < MAX_SAMPLES) {
        samples.push(sample);
      }
      lane.learn('succeeded', ranMs / Math.max(1, expectedMs[task.step]!));
    } else if (how === 'failed') {
      lane.learn('failed');
    }
    this.pumpSoon();
    if (run.isAbandoned || task.run !== run || task.job.isOver) {
      return;
    }
    task.run = undefined;
    if (how === 'done') {
      task.state = 'done';
      this.unblock(task.job);
      this.completeIfDone(task.job);
      return;
    }
    if (how === 'failed' && ++task.failures >= task.job.job.maxAttempts) {
      this.fail(task.job, 'taskFailed');
      return;
    }
    this.retry(task, run, how);
  }

  private runVoid(run: RunRecord, reason: string): void {
    const {task} = run;
    this.pumpSoon();
    if (run.isAbandoned || task.run !== run || task.job.isOver) {
      return;
    }
    task.run = undefined;
    this.retry(task, run, reason);
  }

  /** Lets a task wait again, if there is time left for it. */
  private retry(task: TaskRecord, run: RunRecord, reason: string): void {
    const {job: record, step} = task;
    const target = run.lane.report.targetId;
    const leftMs = record.callerLeavesAtMs - this.opts.clock.now();
    this.opts.log.emit('taskRetried', {
      taskId: task.taskId,
      run: run.run,
      reason,
      target,
      leftMs: Math.round(leftMs),
    });
    if (record.expectedMs[step]! > leftMs) {
      this.fail(record, 'deadline');
      return;
    }
    task.avoid.add(target);
    task.state = 'waiting';
    this.enqueue(record);
    this.pumpSoon();
  }

  private unblock(record: JobRecord): void {
    record.job.steps.forEach((step, n) => {
      const isReady = step.after.every(m =>
        record.tasks.every(task => task.step !== m || task.state === 'done'),
      );
      if (!isReady) {
        return;
      }
      for (const task of record.tasks) {
        if (task.step === n && task.state === 'blocked') {
          task.state = 'waiting';
        }
      }
    });
    if (hasWaitingTask(record)) {
      this.enqueue(record);
    }
  }

  private completeIfDone(record: JobRecord): void {
    if (record.tasks.every(task => task.state === 'done')) {
      const {samples} = record;
      this.conclude(record, {kind: 'completed', samples});
    }
  }

  /** Ends a job that can't be completed, and stops what runs of it. */
  private fail(record: JobRecord, reason: JobFailure): void {
    for (const task of record.tasks) {
      if (task.run) {
        task.run.isAbandoned = true;
        void task.run.lane.stop(task.run);
      }
    }
    const isRefusal = !mayHaveRun(record);
    this.conclude(
      record,
      isRefusal
        ? refusal(reason === 'cancelled' ? 'cancelled' : 'tooLate')
        : {kind: 'failed', reason},
    );
  }

  private conclude(record: JobRecord, outcome: JobOutcome): void {
    if (record.isOver) {
      return;
    }
    record.isOver = true;
    this.jobs.delete(record.key);
    this.waiting = this.waiting.filter(other => other !== record);
    if (outcome.kind === 'completed') {
      this.kept.set(record.key, outcome);
      if (this.kept.size > MAX_KEPT_OUTCOMES) {
        this.kept.delete(this.kept.keys().next().value!);
      }
    }
    this.note(record, outcome);
    record.finish(outcome);
  }

  private note(record: JobRecord, outcome: JobOutcome): void {
    const {job} = record;
    const tookMs = this.opts.clock.now() - record.receivedMs;
    this.opts.onOutcome(job, outcome, tookMs);
    this.opts.log.emit(
      outcome.kind === 'refused' ? 'jobRefused' : 'jobScheduled',
      {
        jobId: job.id,
        kind: job.kind,
        outcome: outcome.kind,
        reason: 'reason' in outcome ? outcome.reason : undefined,
        tookMs: Math.round(tookMs),
        objectiveMs: Math.round(record.objectiveAtMs - record.receivedMs),
        tasks: record.tasks.length,
        done: record.tasks.filter(task => task.state === 'done').length,
        waiting: this.waiting.length,
        targets: this.lanes.size,
      },
    );
  }

  private fenced(token: number): void {
    if (this.host?.token === token) {
      this.opts.log.emit('schedulerFenced', {token});
      this.end();
      this.opts.onFenced(token);
    }
  }

  private async watch(ending: AbortSignal): Promise<void> {
    while (!ending.aborted) {
      await this.opts.clock.sleep(WATCH_PERIOD_MS, ending);
      if (ending.aborted) {
        return;
      }
      const nowMs = this.opts.clock.now();
      for (const record of [...this.jobs.values()]) {
        this.checkJob(record, nowMs);
      }
      for (const lane of [...this.lanes.values()]) {
        this.checkLane(lane, nowMs);
      }
    }
  }

  private checkJob(record: JobRecord, nowMs: number): void {
    // A late answer is still one: the job is given up with its caller only.
    const leftMs = record.callerLeavesAtMs - ANSWER_MARGIN_MS - nowMs;
    if (leftMs < 0) {
      this.fail(record, 'deadline');
      return;
    }
    const isStuck = nowMs - record.receivedMs > CLAIM_TIMEOUT_MS;
    if (isStuck && record.tasks.some(task => task.state === 'claimed')) {
      this.fail(record, 'schedulerLost');
      return;
    }
    for (const task of record.tasks) {
      if (record.isOver) {
        return;
      }
      if (task.state === 'waiting' && record.expectedMs[task.step]! > leftMs) {
        this.fail(record, 'deadline');
      } else if (task.run) {
        this.checkRun(task, task.run, nowMs, leftMs);
      }
    }
  }

  private checkRun(
    task: TaskRecord,
    run: RunRecord,
    nowMs: number,
    leftMs: number,
  ): void {
    const {lane} = run;
    const freshMs = task.job.expectedMs[task.step]!;
    if (
      lane.silentSinceMs !== undefined &&
      lane.certainEndMs + freshMs > task.job.callerLeavesAtMs
    ) {
      this.fail(task.job, 'targetLost');
      return;
    }
    const ranMs = nowMs - run.orderedMs;
    if (
      !run.isOverdue &&
      ranMs > OVERDUE_FACTOR * run.expectedMs + OVERDUE_SLACK_MS
    ) {
      // The answer that listed its end may be lost.
      run.isOverdue = true;
      void lane.look();
    }
    const isStraggler =
      run.state === 'running' &&
      this.estimates.isSettled(task.job.job.kind) &&
      ranMs > STRAGGLER_FACTOR * freshMs + STRAGGLER_SLACK_MS;
    if (isStraggler && freshMs < leftMs) {
      lane.learn('failed', ranMs / freshMs);
      this.opts.log.emit('stragglerStopped', {
        taskId: task.taskId,
        target: lane.report.targetId,
        ranMs: Math.round(ranMs),
        expectedMs: Math.round(freshMs),
      });
      void lane.stop(run);
    }
  }

  private checkLane(lane: TargetLane, nowMs: number): void {
    lane.passTime();
    const isUnheard = nowMs - lane.heardMs > FORGET_TARGET_MS;
    const isGone = lane.report.state === 'gone' && lane.runs.size === 0;
    if (isGone || (isUnheard && lane.runs.size === 0)) {
      this.removeLane(lane, isGone ? 'left' : 'silent');
    }
  }

  private removeLane(lane: TargetLane, reason: string): void {
    lane.end();
    this.lanes.delete(lane.report.targetId);
    this.opts.log.emit('targetGone', {target: lane.report.targetId, reason});
  }
}

/** A lane as the choice of a place sees it. */
interface LaneOption {
  readonly lane: TargetLane;
  readonly targetId: TargetId;
  free: ReturnType<TargetLane['free']>;
  readonly slowness: number;
  readonly isSuspect: boolean;
  runs: number;
}

/** Places for tasks of the mean size of those that run. */
function countPlaces(options: readonly LaneOption[]): {
  readonly room: number;
  free: number;
} {
  const runs = options.flatMap(({lane}) => [...lane.runs.values()]);
  const cores = runs.reduce((sum, run) => sum + run.needs.cores, 0);
  const mean = cores / Math.max(1, runs.length);
  if (mean === 0) {
    return {room: Infinity, free: Infinity};
  }
  let room = 0;
  let free = 0;
  for (const option of options) {
    room += Math.floor(option.lane.report.capacity.cores / mean);
    free += Math.floor(option.free.cores / mean);
  }
  return {room, free};
}

function isAllowed(task: TaskRecord, lane: TargetLane): boolean {
  const {job} = task.job;
  const step = job.steps[task.step]!;
  return (
    lane.report.service === job.service &&
    !task.avoid.has(lane.report.targetId) &&
    (step.requiredLabel === undefined ||
      lane.report.labels.includes(step.requiredLabel)) &&
    (step.maxPerTarget === undefined ||
      countOf(task.job, task.step, lane) < step.maxPerTarget)
  );
}

function refusal(reason: JobRefusal, quote = NO_QUOTE): JobOutcome {
  return {kind: 'refused', reason, retryAfterMs: TAKEOVER_RETRY_MS, quote};
}

/** Time until the last task of a quote starts, in milliseconds. */
function startsAfterMs(quote: JobQuote, record: JobRecord): number {
  return Math.max(
    ...quote.endsMs.map(
      (endMs, n) => endMs - record.expectedMs[record.tasks[n]!.step]!,
    ),
  );
}

function countOf(record: JobRecord, step: number, lane: TargetLane): number {
  return record.tasks.filter(
    task => task.step === step && task.run?.lane === lane,
  ).length;
}
