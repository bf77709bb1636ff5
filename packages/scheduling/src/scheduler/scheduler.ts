import type {
  InstanceId,
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
  TaskId,
} from '@papayarun/protocol';
import {EMPTY_QUOTE, fitsIn} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import type {TargetSessionHost} from '../_lib/target_session_host.js';
import type {RunRecord} from '../_lib/run_record.js';
import type {TaskRecord} from '../_lib/task_record.js';
import {createJobRecord} from '../_lib/create_job_record.js';
import {hasUnplacedTask} from '../_lib/has_unplaced_task.js';
import {DoneTasks} from '../_lib/done_tasks.js';
import {DepartedTargets} from '../_lib/departed_targets.js';
import {compareWaitingJobs} from '../_lib/compare_waiting_jobs.js';
import {jobKey} from '../job_key/job_key.js';
import {jobSizeProblem} from '../job_size/job_size_problem.js';
import {taskCount} from '../job_size/task_count.js';
import {mayHaveRun} from '../_lib/may_have_run.js';
import {placedTasks} from '../_lib/placed_tasks.js';
import {slotFreeTimes} from '../_lib/slot_free_times.js';
import {Sleeper} from '../_lib/sleeper.js';
import {totalSlots} from '../_lib/total_slots.js';
import {TargetSession} from '../_lib/target_session.js';
import {admitJob} from '../admit_job/admit_job.js';
import type {Admission} from '../admit_job/admission.js';
import {chooseTarget} from '../choose_target/choose_target.js';
import {expectedEnds} from '../expected_ends/expected_ends.js';
import {isStraggler} from '../is_straggler/is_straggler.js';
import type {LongRun} from '../is_straggler/long_run.js';
import {maxLocalWaitMs} from '../local_wait/max_local_wait_ms.js';
import {earliestPlace} from '../placement/earliest_place.js';
import {maxReservations} from '../placement/max_reservations.js';
import {mayBackfill} from '../placement/may_backfill.js';
import type {Reservation} from '../placement/reservation.js';
import {spareAfter} from '../placement/spare_after.js';
import {reservedSlots} from '../reserved_slots/reserved_slots.js';
import {unreservedSlots} from '../reserved_slots/unreserved_slots.js';
import {MIN_LEASE_SHARE} from '../run_permission/min_lease_share.js';
import {LoadMeter} from '../load_meter/load_meter.js';
import {runPermissionEndMs} from '../run_permission/run_permission_end_ms.js';
import type {RunTimeEstimator} from '../run_time_estimator/run_time_estimator.js';
import type {RunEnd} from '../target_port/run_end.js';
import {yieldTimes} from '../yield_times/yield_times.js';
import type {SchedulerOptions} from './scheduler_options.js';

/**
 * Period of the checks for stragglers and passed deadlines, in milliseconds.
 */
const WATCH_PERIOD_MS = 40;
/** Period of the checks while there are no jobs, in milliseconds. */
const IDLE_WATCH_PERIOD_MS = 200;
/**
 * Multiple of the expected run time after which the target is asked about a
 * run. `OVERDUE_SLACK_MS` is added to it.
 */
const OVERDUE_FACTOR = 1.5;
/**
 * Time beyond `OVERDUE_FACTOR` before a target is asked about a run, in
 * milliseconds.
 */
const OVERDUE_SLACK_MS = 40;
/**
 * Time before the caller's deadline at which its job is given up, in
 * milliseconds.
 */
const ANSWER_MARGIN_MS = 20;
/**
 * Longest wait for a target to confirm whether a claimed task runs there, in
 * milliseconds.
 */
const CLAIM_TIMEOUT_MS = 400;
/**
 * Time without an answer or report after which a target without runs is
 * removed, in milliseconds.
 */
const TARGET_EXPIRY_MS = 10_000;
/**
 * Interval at which jobs are tried again whose runs elsewhere may go on, in
 * milliseconds.
 */
const OTHER_RUN_CHECK_MS = 20;
/** Most tasks of the jobs in progress, which bounds the memory of their records. */
const MAX_OPEN_TASKS = 100_000;
/**
 * Most tasks placed in one turn of the event loop. Each sends an order, and what
 * arrives meanwhile waits.
 */
const MAX_PLACED_PER_ROUND = 128;
/** Most run time samples in an outcome. */
const MAX_OUTCOME_SAMPLES = 2;
/**
 * Multiple of a job's objective after which its end is too late for the job to
 * be admitted.
 */
const USEFUL_TIME_FACTOR = 1.5;
/**
 * Time without a new target after which all targets count as known, in
 * milliseconds.
 */
const TARGET_DISCOVERY_QUIET_MS = 300;
/**
 * Time after which a caller may retry a refused job, in milliseconds; allows
 * for a scheduler to take over.
 */
const TAKEOVER_RETRY_MS = 500;

/**
 * Schedules the tasks of jobs on the targets of a shard.
 *
 * @description Active while the instance holds the grant of the shard. Pure functions decide on admission, order and placement; this class
 * keeps the state that they work on.
 */
export class Scheduler {
  private readonly loadMeter = LoadMeter.create();
  private readonly jobs = new Map<string, JobRecord>();
  private readonly sessions = new Map<TargetId, TargetSession>();
  private readonly departedTargets = DepartedTargets.create();
  private readonly doneTasks: DoneTasks;
  /** Latest run of each task that is not known to have ended. */
  private readonly openRuns = new Map<TaskId, RunRecord>();
  /** Jobs with unplaced tasks; sorted before each round of placement. */
  private waiting: JobRecord[] = [];
  private host: TargetSessionHost | undefined;
  private endController = new AbortController();
  private readonly watchSleeper: Sleeper;
  private sequence = 0;
  /** Number of tasks of the jobs in progress. */
  private openTasks = 0;
  private beganMs = -Infinity;
  /** Monotonic time at which the first job was handed over under this grant. */
  private handedOverMs: number | undefined;
  /** Monotonic time at which the latest new target was added. */
  private lastTargetAddedMs = -Infinity;
  /** Number of targets that are reserved in this round of placement. */
  private reservedCount = 0;
  private isPlacementDue = false;
  /** Whether the last round has left tasks to the next one. */
  private isNextRoundDue = false;
  private isOtherRunCheckDue = false;
  /** Whether a target gets no new run until those that wait for one are heard. */
  private isLeaseShort = false;

  private readonly estimator: RunTimeEstimator;

  private constructor(private readonly opts: SchedulerOptions) {
    this.estimator = opts.estimator;
    this.doneTasks = DoneTasks.create(opts.clock);
    this.watchSleeper = Sleeper.create(opts.clock);
  }

  /**
   * Creates a scheduler that holds no grant.
   *
   * @param opts - Target port, clock, log, timing and callbacks.
   * @returns The scheduler.
   * @example
   * const scheduler = Scheduler.create(opts);
   * scheduler.begin(7);
   */
  static create(opts: SchedulerOptions): Scheduler {
    return new Scheduler(opts);
  }

  /** Fencing token of the current grant; undefined without one. */
  get token(): number | undefined {
    return this.host?.token;
  }

  /** Number of jobs with an unplaced task. */
  get waitingJobs(): number {
    return this.waiting.length;
  }

  /** Number of runs that are ordered and not known to have ended. */
  get runningTasks(): number {
    let count = 0;
    for (const session of this.sessions.values()) {
      count += session.runs.size;
    }
    return count;
  }

  /** Age of the oldest job with an unplaced task, in milliseconds. */
  get oldestWaitMs(): number {
    const nowMs = this.opts.clock.now();
    return Math.max(0, ...this.waiting.map(job => nowMs - job.receivedMs));
  }

  /** Whether a target has reported to this scheduler and is still in use. */
  hasTarget(targetId: TargetId): boolean {
    return this.sessions.has(targetId);
  }

  /** Number of known targets. */
  get targets(): number {
    return this.sessions.size;
  }

  /**
   * Starts to schedule under a grant. Each target is asked for its runs before
   * it gets new ones.
   *
   * @param token - Fencing token of the grant.
   */
  begin(token: number): void {
    if (this.host && this.host.token >= token) {
      return;
    }
    this.end();
    this.endController = new AbortController();
    this.host = {
      port: this.opts.targetClient,
      clock: this.opts.clock,
      log: this.opts.log,
      timing: this.opts.timing,
      token,
      handedOverMs: () => this.handedOverMs,
      isFormerActive: () => this.opts.isFormerActive?.() ?? true,
      permissionEndMs: jobId => this.permissionEndMs(jobId),
      catchUp: () => this.opts.catchUp?.(),
      onRunEnded: (run, how) => this.handleRunEnded(run, how),
      onRunNotStarted: (run, reason) => this.handleRunNotStarted(run, reason),
      onEarlierRunDone: (session, taskId) =>
        this.handleEarlierRunDone(session, taskId),
      onTargetRefusing: session => this.handleRefusing(session),
      onFenced: session => this.handleFenced(session, token),
      onChange: () => this.schedulePlacement(),
    };
    this.beganMs = this.opts.clock.now();
    this.handedOverMs = undefined;
    this.opts.log.emit('schedulerBegun', {shard: this.opts.shard, token});
    void this.watchLoop(this.endController.signal);
  }

  /**
   * Gives up the grant; the entries of the jobs pass them to the next
   * scheduler.
   */
  end(): void {
    const {host} = this;
    if (!host) {
      return;
    }
    this.host = undefined;
    this.endController.abort();
    this.watchSleeper.wake();
    for (const session of this.sessions.values()) {
      session.close();
    }
    this.sessions.clear();
    for (const record of [...this.jobs.values()]) {
      this.concludeJob(
        record,
        mayHaveRun(record)
          ? {kind: 'handedOver', placed: placedTasks(record, this.openRuns)}
          : refusal('notScheduler'),
      );
    }
    this.openRuns.clear();
    const {shard} = this.opts;
    this.opts.log.emit('schedulerEnded', {shard, token: host.token});
  }

  /**
   * Processes a report of a target.
   *
   * @param report - The report.
   * @returns False if this scheduler holds no grant and ignores the report.
   */
  acceptReport(report: TargetReport): boolean {
    if (!this.host) {
      return false;
    }
    if (this.departedTargets.has(report)) {
      return true;
    }
    if (report.state === 'gone') {
      this.departedTargets.add(report, this.opts.clock.now());
    }
    const session = this.sessions.get(report.targetId);
    const incarnation = session?.incarnationOf(report);
    if (incarnation === 'earlier') {
      return true;
    }
    if (session && incarnation === 'current') {
      session.updateReport(report);
      if (report.state !== 'ready') {
        this.opts.log.emit('targetLeaving', {
          target: report.targetId,
          state: report.state,
        });
      }
      this.checkSession(session, this.opts.clock.now());
      this.schedulePlacement();
      return true;
    }
    if (session && report.state === 'gone') {
      session.closeAllRuns('restarted');
      this.removeSession(session, 'left');
      return true;
    }
    if (session) {
      session.acceptRestart(report);
      this.schedulePlacement();
      return true;
    }
    if (report.state !== 'gone' && this.opts.ownsTarget(report.targetId)) {
      this.sessions.set(
        report.targetId,
        TargetSession.create(this.host, report),
      );
      this.lastTargetAddedMs = this.opts.clock.now();
      this.opts.log.emit('targetAdded', {target: report.targetId});
    }
    return true;
  }

  /**
   * Runs a job, or refuses it at once.
   *
   * @param job - The job.
   * @param requester - Instance that waits for the outcome, for the log.
   * @param onAdmitted - Called before its first task is placed.
   * @returns How it ended. A job that was submitted before gets the outcome of
   *   the first submission.
   */
  submit(
    job: ScheduledJob,
    requester?: InstanceId,
    onAdmitted?: () => void,
  ): Promise<JobOutcome> {
    const key = jobKey(job);
    const present = this.jobs.get(key);
    if (present) {
      this.logSentAgain(present, 'joined', requester);
      return present.outcome;
    }
    if (!job.placed && this.hasNoRoomFor(job)) {
      return Promise.resolve(this.refuseForRoom(job, requester));
    }
    const nowMs = this.opts.clock.now();
    const {record, slots} = this.prepareRecord(job, nowMs);
    record.requester = requester;
    const isRecalled = this.recallEarlierRuns(record);
    if (record.tasks.every(task => task.state === 'done')) {
      return Promise.resolve({kind: 'completed', samples: []});
    }
    if (!this.host) {
      return Promise.resolve(refusal('notScheduler'));
    }
    if (job.placed) {
      this.handedOverMs ??= nowMs;
    }
    if (isRecalled && slots === 0 && !this.hasOpenRun(record)) {
      return Promise.resolve({kind: 'failed', reason: 'schedulerLost'});
    }
    if (record.tasks.some(({taskId}) => this.opts.crashes.isGivenUp(taskId))) {
      return Promise.resolve({kind: 'failed', reason: 'targetLost'});
    }
    this.markOrphansClaimed(record);
    if (!mayHaveRun(record) && !job.isPromised) {
      const admission = this.decideAdmission(record, slots, nowMs);
      if (admission.kind === 'refused') {
        record.isConcluded = true;
        this.reportOutcome(record, admission);
        return Promise.resolve(admission);
      }
      const waitMs = lastTaskStartMs(admission.quote, record);
      const slackMs = record.objectiveAtMs - nowMs - record.criticalPathMs;
      if (waitMs - this.opts.loopLagMs() > maxLocalWaitMs(slackMs)) {
        // Not final: the entry compares the quotes of all data centres and may
        // submit the job, or a part of it, again as promised.
        record.isConcluded = true;
        return Promise.resolve(refusal('wouldWait', admission.quote));
      }
    }
    const workMs = record.tasks.reduce(
      (sum, t) => sum + record.expectedMs[t.stepIndex]!,
      0,
    );
    this.loadMeter.add(job.priority, workMs, nowMs);
    this.jobs.set(key, record);
    this.openTasks += record.tasks.length;
    if (job.leftMs < IDLE_WATCH_PERIOD_MS) {
      this.watchSleeper.wake();
    }
    onAdmitted?.();
    this.unblockSteps(record);
    this.completeIfDone(record);
    this.placeWaitingTasks();
    return record.outcome;
  }

  /**
   * Adds a run time sample, from this scheduler or another one.
   *
   * @param kind - Kind of the job.
   * @param sample - Declared and measured run time of a task.
   */
  recordRunTime(kind: KindId, sample: RunTimeSample): void {
    this.estimator.addSample(kind, sample.declaredMs, sample.ranMs);
  }

  /**
   * Estimates when the tasks of a job would end here.
   *
   * @param job - The job, which is not admitted by this.
   * @returns The quote; an empty one without a grant.
   */
  quote(job: ScheduledJob): JobQuote {
    if (!this.host || this.hasNoRoomFor(job)) {
      return EMPTY_QUOTE;
    }
    const nowMs = this.opts.clock.now();
    const {record, slots} = this.prepareRecord(job, nowMs);
    return this.decideAdmission(record, slots, nowMs).quote;
  }

  /**
   * Cancels a job that no caller waits for any more, or that its caller has
   * cancelled.
   *
   * @param jobId - The job.
   * @param reason - Which of the two.
   */
  cancel(
    jobId: JobId,
    reason: 'cancelled' | 'cancelledByCaller' = 'cancelled',
  ): void {
    for (const record of [...this.jobs.values()]) {
      if (record.job.id === jobId) {
        this.failJob(record, reason);
      }
    }
  }

  /**
   * Cancels a submission that no caller waits for any more, beside others of its
   * job.
   *
   * @param job - The job, or the part of it that was submitted.
   */
  cancelSubmission(job: ScheduledJob): void {
    const record = this.jobs.get(jobKey(job));
    if (record) {
      this.failJob(record, 'cancelled');
    }
  }

  /** Whether the records of a job's tasks would take too much memory. */
  private hasNoRoomFor({isPromised, steps}: ScheduledJob): boolean {
    return (
      jobSizeProblem(steps) !== undefined ||
      (!isPromised && this.openTasks + taskCount(steps) > MAX_OPEN_TASKS)
    );
  }

  /** Refuses a job before a record of it is made. */
  private refuseForRoom(
    job: ScheduledJob,
    requester: InstanceId | undefined,
  ): JobOutcome {
    const outcome = refusal('tooMany');
    this.opts.onOutcome(job, outcome, 0, undefined);
    this.opts.log.emit('jobRefused', {
      jobId: job.id,
      requester,
      shard: this.opts.shard,
      outcome: outcome.kind,
      reason: 'tooMany',
      kind: job.kind,
      tasks: taskCount(job.steps),
      openTasks: this.openTasks,
    });
    return outcome;
  }

  private prepareRecord(
    job: ScheduledJob,
    nowMs: number,
  ): {
    readonly record: JobRecord;
    readonly slots: number;
  } {
    const expectedMs = job.steps.map(step =>
      this.estimator.estimateMs(job.kind, step.estimateMs),
    );
    const sequence = ++this.sequence;
    const slots = totalSlots(job, this.sessions.values());
    // The objective depends on the slots of the whole service. All shards are
    // assumed to have as many as this one.
    const serviceSlots = slots * Math.max(1, this.opts.shardCount());
    const record = createJobRecord(
      job,
      expectedMs,
      sequence,
      serviceSlots,
      nowMs,
    );
    record.slots = slots;
    updateYieldTimes(record);
    return {record, slots};
  }

  private decideAdmission(
    record: JobRecord,
    slots: number,
    nowMs: number,
  ): Admission {
    const {job, expectedMs} = record;
    const aheadMs: number[] = [];
    for (const other of this.waiting) {
      updateYieldTimes(other);
      if (compareWaitingJobs(other, record, nowMs) < 0) {
        for (const task of other.tasks) {
          if (task.state === 'waiting') {
            aheadMs.push(other.expectedMs[task.stepIndex]!);
          }
        }
      }
    }
    const ownMs = record.tasks.map(task => expectedMs[task.stepIndex]!);
    const urgentSlots = this.loadMeter.loadAbove(job.priority, nowMs);
    const reserved = reservedSlots({
      urgentSlots,
      busySlots: this.loadMeter.loadAbove(Infinity, nowMs),
      totalSlots: slots,
    });
    const tasks = aheadMs.length + ownMs.length;
    const slotFreeMs = slotFreeTimes(
      job,
      this.sessions.values(),
      nowMs,
      tasks,
      tasks + Math.ceil(reserved),
    );
    const endsMs = expectedEnds(
      unreservedSlots(slotFreeMs, reserved),
      aheadMs,
      ownMs,
    );
    record.forecast = {
      endMs: Math.max(...endsMs),
      freeSlots: slotFreeMs.filter(ms => ms === 0).length,
    };
    return admitJob({
      slots,
      criticalPathMs: record.criticalPathMs,
      endsMs,
      urgentShare: urgentSlots / Math.max(1, slots),
      objectiveTimeLeftMs: record.objectiveAtMs - nowMs,
      // Counted from now, since a job may have waited for this scheduler to
      // take over.
      usefulTimeLeftMs:
        USEFUL_TIME_FACTOR *
        (record.objectiveAtMs - record.receivedMs + job.ageMs),
      callerTimeLeftMs: record.callerDeadlineAtMs - nowMs,
      loopLagMs: this.opts.loopLagMs(),
      waitingJobs: this.waiting.length,
      isDiscoveringTargets: this.isDiscoveringTargets(nowMs),
    });
  }

  /**
   * Whether the scheduler has just begun and is still receiving reports of new
   * targets.
   */
  private isDiscoveringTargets(nowMs: number): boolean {
    return (
      nowMs - this.beganMs < this.opts.timing.reportMs &&
      nowMs - this.lastTargetAddedMs < TARGET_DISCOVERY_QUIET_MS
    );
  }

  /**
   * Applies what is known of the tasks from earlier submissions of their job.
   *
   * @returns Whether anything is known.
   */
  private recallEarlierRuns(record: JobRecord): boolean {
    let isRecalled = false;
    for (const task of record.tasks) {
      const isDone = this.doneTasks.has(record.job.id, task.taskId);
      task.state = isDone ? 'done' : task.state;
      isRecalled ||= isDone || this.openRuns.has(task.taskId);
    }
    if (isRecalled) {
      record.hasStarted = true;
      this.logSentAgain(record, 'recalled', record.requester);
    }
    return isRecalled;
  }

  private logSentAgain(
    {job, tasks}: JobRecord,
    how: 'joined' | 'recalled',
    requester: InstanceId | undefined,
  ): void {
    this.opts.log.emit('jobSentAgain', {
      jobId: job.id,
      requester,
      shard: this.opts.shard,
      how,
      tasks: tasks.length,
      done: tasks.filter(task => task.state === 'done').length,
      running: tasks.filter(({taskId}) => this.openRuns.has(taskId)).length,
    });
  }

  /**
   * Marks tasks as claimed if an earlier scheduler's run of them is on a
   * target.
   */
  private markOrphansClaimed(record: JobRecord): void {
    for (const session of this.sessions.values()) {
      if (!session.hasOrphans) {
        continue;
      }
      for (const task of record.tasks) {
        if (task.state !== 'done' && session.hasOrphan(task.taskId)) {
          task.state = 'claimed';
          task.claimedTargetId = session.report.targetId;
        }
      }
    }
  }

  /** Takes over claimed tasks whose targets have answered. */
  private resolveClaims(record: JobRecord): void {
    for (const task of record.tasks) {
      const session =
        task.state === 'claimed' && task.claimedTargetId !== undefined
          ? this.sessions.get(task.claimedTargetId)
          : undefined;
      if (!session?.isConfirmed) {
        continue;
      }
      const found = session.adopt(task.taskId);
      switch (found?.kind) {
        case 'running': {
          const run = this.createRun(task, session, found.run, true);
          run.state = 'running';
          run.confirmedMs = run.orderedMs;
          task.nextRunNumber = Math.max(task.nextRunNumber, found.run + 1);
          task.state = 'placed';
          task.run = run;
          session.addRun(run);
          break;
        }
        case 'ended':
          task.state = found.end.how === 'done' ? 'done' : 'waiting';
          task.nextRunNumber = Math.max(task.nextRunNumber, found.end.run + 1);
          break;
        case undefined:
          // An order of the earlier scheduler that has not arrived yet will be
          // rejected, since the target has seen the newer fencing token.
          task.state = 'waiting';
          break;
        default:
          found satisfies never;
      }
      this.opts.log.emit('taskAdopted', {
        taskId: task.taskId,
        target: session.report.targetId,
        state: task.state,
      });
    }
    this.completeIfDone(record);
  }

  /**
   * Marks waiting tasks as done that a run of an earlier submission completed
   * meanwhile. A task waits for as long as such a run may exist.
   */
  private resolveEarlierRuns(record: JobRecord): void {
    let isAnyDone = false;
    for (const task of record.tasks) {
      if (task.state !== 'waiting') {
        continue;
      }
      const run = this.openRuns.get(task.taskId);
      if (run) {
        task.nextRunNumber = Math.max(task.nextRunNumber, run.runNumber + 1);
      } else if (this.doneTasks.has(record.job.id, task.taskId)) {
        task.state = 'done';
        isAnyDone = true;
      }
    }
    if (isAnyDone) {
      this.unblockSteps(record);
      this.completeIfDone(record);
    }
  }

  private enqueue(record: JobRecord): void {
    if (record.isConcluded || this.waiting.includes(record)) {
      return;
    }
    this.waiting.push(record);
  }

  /** Places waiting tasks once after all changes of this turn. */
  private schedulePlacement(): void {
    if (!this.isPlacementDue) {
      this.isPlacementDue = true;
      queueMicrotask(() => {
        this.isPlacementDue = false;
        this.placeWaitingTasks();
      });
    }
  }

  /** Places waiting tasks, in the order of their jobs. */
  private placeWaitingTasks(): void {
    if (!this.host || this.waiting.length === 0 || this.isNextRoundDue) {
      return;
    }
    const candidates = this.availableCandidates();
    const nowMs = this.opts.clock.now();
    this.waiting.forEach(updateYieldTimes);
    this.waiting.sort((a, b) => compareWaitingJobs(a, b, nowMs));
    this.withholdForSuspect(candidates);
    this.reservedCount = 0;
    const slots = countSlots(candidates);
    const busySlots = this.loadMeter.loadAbove(Infinity, nowMs);
    let placedCount = 0;
    for (const record of [...this.waiting]) {
      this.resolveClaims(record);
      this.resolveEarlierRuns(record);
      if (this.isPermissionShort(record, nowMs)) {
        this.isLeaseShort = true;
        continue;
      }
      if ((this.opts.otherRunsForMs?.(record.job.id) ?? 0) > 0) {
        void this.placeAfterOtherRuns();
        continue;
      }
      const urgentSlots = this.loadMeter.loadAbove(record.job.priority, nowMs);
      const reserved = reservedSlots({
        urgentSlots,
        busySlots,
        totalSlots: slots.totalSlots,
      });
      const placed = this.placeTasks(
        record,
        candidates,
        MAX_PLACED_PER_ROUND - placedCount,
        () => reserved === 0 || slots.freeSlots > reserved,
        () => slots.freeSlots--,
      );
      placedCount += placed.length;
      this.logPlaced(record, placed, nowMs);
      if (placedCount === MAX_PLACED_PER_ROUND) {
        void this.placeInNextRound();
        break;
      }
    }
    this.waiting = this.waiting.filter(hasUnplacedTask);
  }

  /** Places waiting tasks of a job, up to a number of them. */
  private placeTasks(
    record: JobRecord,
    candidates: SessionCandidate[],
    maxCount: number,
    mayPlace: () => boolean,
    onPlaced: () => void,
  ): RunRecord[] {
    const placed: RunRecord[] = [];
    /** Steps of which a task has found no target in this round. */
    const fullSteps = new Set<number>();
    for (const task of record.tasks) {
      const {stepIndex, taskId} = task;
      if (placed.length >= maxCount || !mayPlace()) {
        break;
      }
      if (task.state !== 'waiting' || this.openRuns.has(taskId)) {
        continue;
      }
      const isSuspect = this.opts.crashes.isSuspect(taskId);
      if (fullSteps.has(stepIndex) && !isSuspect) {
        continue;
      }
      const run = this.placeTask(task, candidates);
      if (run) {
        placed.push(run);
        onPlaced();
      } else if (!isSuspect && task.excludedTargets.size === 0) {
        fullSteps.add(stepIndex);
      }
    }
    return placed;
  }

  /** Goes on with the placement when other events have been handled. */
  private async placeInNextRound(): Promise<void> {
    this.isNextRoundDue = true;
    await this.opts.clock.sleep(0);
    this.isNextRoundDue = false;
    this.schedulePlacement();
  }

  /** Places waiting tasks again until runs elsewhere have ended. */
  private async placeAfterOtherRuns(): Promise<void> {
    if (!this.isOtherRunCheckDue) {
      this.isOtherRunCheckDue = true;
      await this.opts.clock.sleep(OTHER_RUN_CHECK_MS);
      this.isOtherRunCheckDue = false;
      this.schedulePlacement();
    }
  }

  private availableCandidates(): SessionCandidate[] {
    const candidates: SessionCandidate[] = [];
    this.isLeaseShort = false;
    for (const session of this.sessions.values()) {
      session.updateClock();
      if (!session.mayStartRun) {
        this.isLeaseShort ||= session.isLeaseShort;
      } else {
        candidates.push({
          session,
          targetId: session.report.targetId,
          free: session.freeResources(),
          slowness: session.slowness,
          isSuspect: session.health.kind === 'suspect',
          runs: session.runs.size,
          isExclusive: [...session.runs.values()].some(run =>
            this.opts.crashes.isSuspect(run.task.taskId),
          ),
          reservation: undefined,
        });
      }
    }
    return candidates;
  }

  /**
   * Keeps other tasks off the target with the fewest runs, if a task that has
   * to run alone waits and no target is idle.
   */
  private withholdForSuspect(candidates: readonly SessionCandidate[]): void {
    const {crashes, clock} = this.opts;
    if (!crashes.hasSuspects(clock.now())) {
      return;
    }
    const suspect = this.waiting
      .flatMap(record => record.tasks)
      .find(task => task.state === 'waiting' && crashes.isSuspect(task.taskId));
    if (!suspect) {
      return;
    }
    const [emptiest] = candidates
      .filter(({session}) => isAllowed(suspect, session))
      .sort((a, b) => a.runs - b.runs);
    if (emptiest && emptiest.runs > 0) {
      emptiest.isExclusive = true;
    }
  }

  /** Orders a task on a target; undefined if it fits on none. */
  private placeTask(
    task: TaskRecord,
    candidates: SessionCandidate[],
  ): RunRecord | undefined {
    const {needs} = task.job.job.steps[task.stepIndex]!;
    const expectedMs = task.job.expectedMs[task.stepIndex]!;
    // A suspect runs alone, so that another crash takes no other task along.
    const isSuspect = this.opts.crashes.isSuspect(task.taskId);
    const usable = candidates.filter(
      ({session, runs, isExclusive, reservation}) =>
        isAllowed(task, session) &&
        (isSuspect ? runs === 0 : !isExclusive) &&
        mayBackfill(reservation, needs, expectedMs * session.slowness),
    );
    const chosen = chooseTarget(usable, needs);
    if (!chosen) {
      if (!isSuspect) {
        this.reserveFor(task, usable);
      }
      return undefined;
    }
    const {session} = chosen;
    const runMs = expectedMs * session.slowness;
    chosen.reservation = spareAfter(chosen.reservation, needs, runMs);
    const run = this.createRun(task, session, task.nextRunNumber++, false);
    task.state = 'placed';
    task.run = run;
    void session.start(run);
    chosen.free = session.freeResources();
    chosen.runs = session.runs.size;
    chosen.isExclusive ||= isSuspect;
    return run;
  }

  /** Reserves a target for a task that has found no room on any. */
  private reserveFor(task: TaskRecord, usable: SessionCandidate[]): void {
    const {needs} = task.job.job.steps[task.stepIndex]!;
    const left = maxReservations(this.opts.placement) - this.reservedCount;
    const nowMs = this.opts.clock.now();
    const places =
      left > 0
        ? usable
            .filter(({isSuspect, reservation}) => !isSuspect && !reservation)
            .map(candidate => ({
              candidate,
              free: candidate.free,
              ends: candidate.session.expectedRunEnds(nowMs),
            }))
        : [];
    const found = earliestPlace(needs, places);
    if (found) {
      found.place.candidate.reservation = found.reservation;
      this.reservedCount++;
    }
  }

  /** Logs the targets that tasks of a job were placed on in one round. */
  private logPlaced(
    record: JobRecord,
    placed: readonly RunRecord[],
    nowMs: number,
  ): void {
    if (placed.length > 0 && this.opts.log.decisionsEnabled) {
      this.opts.log.emit('taskPlaced', {
        jobId: record.job.id,
        requester: record.requester,
        waitedMs: Math.round(nowMs - record.receivedMs),
        runs: placed.map(({task, runNumber, session}) => ({
          taskId: task.taskId,
          run: runNumber,
          target: session.report.targetId,
          slowness: Number(session.slowness.toFixed(2)),
        })),
      });
    }
  }

  private createRun(
    task: TaskRecord,
    session: TargetSession,
    run: number,
    isAdopted: boolean,
  ): RunRecord {
    const permittedUntilMs = this.permissionEndMs(task.job.job.id);
    const record: RunRecord = {
      task,
      runNumber: run,
      session,
      needs: task.job.job.steps[task.stepIndex]!.needs,
      state: 'starting',
      orderedMs: this.opts.clock.now(),
      confirmedMs: undefined,
      expectedMs: task.job.expectedMs[task.stepIndex]! * session.slowness,
      leaseEndMs: session.newLeaseEndMs(permittedUntilMs),
      permittedUntilMs,
      isListed: isAdopted,
      mayBeLost: false,
      isOverdueChecked: false,
      isAdopted,
      isCrashRecorded: false,
      abandonedMs: undefined,
    };
    this.openRuns.set(task.taskId, record);
    return record;
  }

  /** Time by which the lease of a job's runs has to end, by what is known now. */
  private permissionEndMs(jobId: JobId): number {
    const heardMs = this.opts.requesterHeardMs?.(jobId);
    return heardMs === undefined
      ? Infinity
      : runPermissionEndMs(heardMs, this.opts.timing);
  }

  /** Whether a run that is ordered now would have to end soon. */
  private isPermissionShort({job}: JobRecord, nowMs: number): boolean {
    const leftMs = this.permissionEndMs(job.id) - nowMs;
    return leftMs < MIN_LEASE_SHARE * this.opts.timing.maxLeaseMs;
  }

  private hasOpenRun(record: JobRecord): boolean {
    return record.tasks.some(({taskId}) => this.openRuns.has(taskId));
  }

  private removeOpenRun(run: RunRecord): void {
    this.removeAbandonedRun(run);
    if (this.openRuns.get(run.task.taskId) === run) {
      this.openRuns.delete(run.task.taskId);
    }
  }

  private handleRunEnded(run: RunRecord, how: RunEnd): void {
    const {task, session} = run;
    this.removeOpenRun(run);
    task.job.hasStarted = true;
    if (how === 'done') {
      session.lastDoneMs = this.opts.clock.now();
      this.doneTasks.add(task.job.job.id, task.taskId);
    }
    const ranMs = this.opts.clock.now() - (run.confirmedMs ?? run.orderedMs);
    if (how === 'done' && run.abandonedMs === undefined && !run.isAdopted) {
      const {job, expectedMs, samples} = task.job;
      const declaredMs = job.steps[task.stepIndex]!.estimateMs;
      const sample = {declaredMs, ranMs: ranMs / session.slowness};
      const {longestRunMs} = task.job;
      longestRunMs[task.stepIndex] = Math.max(
        longestRunMs[task.stepIndex]!,
        ranMs,
      );
      this.recordRunTime(job.kind, sample);
      if (samples.length < MAX_OUTCOME_SAMPLES) {
        samples.push(sample);
      }
      session.recordRunResult(
        'succeeded',
        ranMs / Math.max(1, expectedMs[task.stepIndex]!),
      );
    } else if (how === 'failed') {
      session.recordRunResult('failed');
    } else if (how === 'targetCrashed') {
      this.recordCrash(run);
    }
    this.schedulePlacement();
    if (run.abandonedMs !== undefined) {
      this.logAbandonedRun(run, how, run.abandonedMs);
      return;
    }
    if (task.run !== run || task.job.isConcluded) {
      return;
    }
    task.run = undefined;
    if (how === 'done') {
      task.state = 'done';
      this.unblockSteps(task.job);
      this.completeIfDone(task.job);
      return;
    }
    if (how === 'failed' && ++task.failures >= task.job.job.maxAttempts) {
      this.failJob(task.job, 'taskFailed');
      return;
    }
    const crashFailure =
      how === 'targetCrashed' ? this.crashFailure(task) : undefined;
    if (crashFailure) {
      this.failJob(task.job, crashFailure);
      return;
    }
    this.retryTask(task, run, how);
  }

  /**
   * Records a run that counted as lapsed, and was done before its lease expired;
   * its target could not tell. A task that still waits is not started again.
   */
  private handleEarlierRunDone(session: TargetSession, taskId: TaskId): void {
    for (const {job, tasks} of this.jobs.values()) {
      const task = taskId.startsWith(job.id)
        ? tasks.find(other => other.taskId === taskId)
        : undefined;
      if (task?.state === 'waiting') {
        this.doneTasks.add(job.id, taskId);
        this.opts.log.emit('taskAdopted', {
          taskId,
          target: session.report.targetId,
          state: 'done',
        });
        this.schedulePlacement();
      }
    }
  }

  private logAbandonedRun(
    run: RunRecord,
    how: RunEnd,
    abandonedMs: number,
  ): void {
    this.opts.log.emit('abandonedRunEnded', {
      taskId: run.task.taskId,
      run: run.runNumber,
      target: run.session.report.targetId,
      how,
      afterMs: Math.round(this.opts.clock.now() - abandonedMs),
    });
  }

  /**
   * Counts the crash of a target under its runs as soon as nothing listens there,
   * while they may be started elsewhere only after their lease.
   */
  private handleRefusing(session: TargetSession): void {
    for (const run of [...session.runs.values()]) {
      this.recordCrash(run);
      const {task} = run;
      const failure = run.isCrashRecorded ? this.crashFailure(task) : undefined;
      if (failure && !task.job.isConcluded) {
        this.failJob(task.job, failure);
      }
    }
  }

  /** Why a task whose target has crashed isn't started again, if it isn't. */
  private crashFailure({taskId, job}: TaskRecord): JobFailure | undefined {
    const {crashes, clock} = this.opts;
    if (crashes.isGivenUp(taskId)) {
      return 'targetLost';
    }
    return crashes.isKindSuspect(job.job.kind, clock.now())
      ? 'kindSuspected'
      : undefined;
  }

  private recordCrash(run: RunRecord): void {
    // An order that is still on its way may find the target gone already.
    const mayHaveBegun =
      run.confirmedMs !== undefined || run.state === 'uncertain';
    if (mayHaveBegun && !run.isCrashRecorded) {
      run.isCrashRecorded = true;
      const {job, taskId} = run.task;
      const nowMs = this.opts.clock.now();
      this.opts.crashes.recordCrash(job.job.kind, taskId, nowMs);
    }
  }

  private handleRunNotStarted(run: RunRecord, reason: string): void {
    const {task} = run;
    this.removeOpenRun(run);
    this.schedulePlacement();
    if (
      run.abandonedMs !== undefined ||
      task.run !== run ||
      task.job.isConcluded
    ) {
      return;
    }
    task.run = undefined;
    this.retryTask(task, run, reason);
  }

  /** Returns a task to waiting, or fails its job if too little time is left. */
  private retryTask(task: TaskRecord, run: RunRecord, reason: string): void {
    const {job: record, stepIndex} = task;
    const target = run.session.report.targetId;
    const leftMs = record.callerDeadlineAtMs - this.opts.clock.now();
    this.opts.log.emit('taskRetried', {
      taskId: task.taskId,
      run: run.runNumber,
      reason,
      target,
      leftMs: Math.round(leftMs),
    });
    if (record.expectedMs[stepIndex]! > leftMs) {
      this.failJob(record, 'deadline');
      return;
    }
    // A target that has ended a higher run takes the next number.
    if (reason !== 'superseded') {
      task.excludedTargets.add(target);
    }
    task.state = 'waiting';
    this.enqueue(record);
    this.schedulePlacement();
  }

  private unblockSteps(record: JobRecord): void {
    const isStepDone = record.job.steps.map(() => true);
    for (const {state, stepIndex} of record.tasks) {
      isStepDone[stepIndex] &&= state === 'done';
    }
    const isReady = record.job.steps.map(({after}) =>
      after.every(n => isStepDone[n] ?? true),
    );
    for (const task of record.tasks) {
      if (task.state === 'blocked' && isReady[task.stepIndex]) {
        task.state = 'waiting';
      }
    }
    if (hasUnplacedTask(record)) {
      this.enqueue(record);
    }
  }

  private completeIfDone(record: JobRecord): void {
    if (record.tasks.every(task => task.state === 'done')) {
      const {samples} = record;
      this.concludeJob(record, {kind: 'completed', samples});
    }
  }

  /** Ends a job that can't be completed, and stops its runs. */
  private failJob(record: JobRecord, reason: JobFailure): void {
    if (record.isConcluded) {
      return;
    }
    const nowMs = this.opts.clock.now();
    for (const {run} of record.tasks) {
      if (run) {
        run.abandonedMs = nowMs;
        // Nothing listens any more where the target of a run has crashed.
        if (!run.isCrashRecorded) {
          record.abandonedRuns.add(run);
        }
      }
    }
    // A refused job may be submitted elsewhere, a cancelled one may not.
    const isRefusal = !mayHaveRun(record) && reason !== 'cancelledByCaller';
    this.concludeJob(
      record,
      isRefusal
        ? refusal(reason === 'cancelled' ? 'cancelled' : 'tooLate')
        : {kind: 'failed', reason},
    );
    for (const {run} of record.tasks) {
      void run?.session.stop(run);
    }
  }

  private concludeJob(record: JobRecord, outcome: JobOutcome): void {
    if (record.isConcluded) {
      return;
    }
    record.isConcluded = true;
    if (this.jobs.delete(record.key)) {
      this.openTasks -= record.tasks.length;
    }
    this.waiting = this.waiting.filter(other => other !== record);
    this.reportOutcome(record, outcome);
    if (record.abandonedRuns.size === 0) {
      record.resolveOutcome(outcome);
    } else {
      void this.resolveOnceEnded(record, outcome);
    }
  }

  /**
   * Returns the outcome of a job when its abandoned runs have ended, since its
   * caller may send it again at once, also to another scheduler; at the latest
   * when the caller stops waiting.
   */
  private async resolveOnceEnded(
    record: JobRecord,
    outcome: JobOutcome,
  ): Promise<void> {
    const {clock} = this.opts;
    const leftMs = Math.max(0, record.callerDeadlineAtMs - clock.now());
    record.resolveAbandoned = () => record.resolveOutcome(outcome);
    await clock.sleep(leftMs, this.endController.signal);
    record.resolveOutcome(
      outcome.kind === 'failed' && record.abandonedRuns.size > 0
        ? {...outcome, mayRun: true}
        : outcome,
    );
  }

  private removeAbandonedRun(run: RunRecord): void {
    const {abandonedRuns, resolveAbandoned} = run.task.job;
    if (abandonedRuns.delete(run) && abandonedRuns.size === 0) {
      resolveAbandoned?.();
    }
  }

  private reportOutcome(record: JobRecord, outcome: JobOutcome): void {
    const {job, forecast} = record;
    const tookMs = this.opts.clock.now() - record.receivedMs;
    this.opts.onOutcome(job, outcome, tookMs, forecast);
    this.opts.log.emit(
      outcome.kind === 'refused' ? 'jobRefused' : 'jobScheduled',
      {
        jobId: job.id,
        requester: record.requester,
        shard: this.opts.shard,
        outcome: outcome.kind,
        reason: 'reason' in outcome ? outcome.reason : undefined,
        tookMs: Math.round(tookMs),
        kind: job.kind,
        objectiveMs: Math.round(record.objectiveAtMs - record.receivedMs),
        expectedMs: forecast && Math.round(forecast.endMs),
        freeSlots: forecast?.freeSlots,
        tasks: record.tasks.length,
        done: record.tasks.filter(task => task.state === 'done').length,
        waiting: this.waiting.length,
        targets: this.sessions.size,
      },
    );
  }

  private handleFenced(session: TargetSession, token: number): void {
    if (this.host?.token !== token) {
      return;
    }
    const {shard} = this.opts;
    const target = session.report.targetId;
    this.opts.log.emit('schedulerFenced', {shard, token, target});
    if (!this.opts.ownsTarget(target)) {
      this.abandonTarget(session);
    } else {
      this.end();
      this.opts.onFenced(token);
    }
  }

  private async watchLoop(ending: AbortSignal): Promise<void> {
    while (!ending.aborted) {
      if (this.jobs.size === 0) {
        await this.watchSleeper.sleep(IDLE_WATCH_PERIOD_MS);
      } else {
        await this.opts.clock.sleep(WATCH_PERIOD_MS, ending);
      }
      if (ending.aborted) {
        return;
      }
      const nowMs = this.opts.clock.now();
      for (const record of [...this.jobs.values()]) {
        this.checkJob(record, nowMs);
      }
      for (const session of [...this.sessions.values()]) {
        this.checkSession(session, nowMs);
      }
      if (this.isLeaseShort) {
        this.schedulePlacement();
      }
    }
  }

  private checkJob(record: JobRecord, nowMs: number): void {
    // A late answer is still of use, so the job is given up only when its
    // caller is about to stop waiting.
    const leftMs = record.callerDeadlineAtMs - ANSWER_MARGIN_MS - nowMs;
    if (leftMs < 0) {
      this.failJob(record, 'deadline');
      return;
    }
    const isStuck = nowMs - record.receivedMs > CLAIM_TIMEOUT_MS;
    if (isStuck && record.tasks.some(task => task.state === 'claimed')) {
      this.failJob(record, 'schedulerLost');
      return;
    }
    for (const task of record.tasks) {
      if (record.isConcluded) {
        return;
      }
      if (
        task.state === 'waiting' &&
        record.expectedMs[task.stepIndex]! > leftMs
      ) {
        this.failJob(record, 'deadline');
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
    const {session} = run;
    const usualMs = task.job.expectedMs[task.stepIndex]!;
    const ranMs = nowMs - run.orderedMs;
    if (!run.isOverdueChecked && isOverdue(run, nowMs)) {
      // The answer that listed the end of the run may have been lost.
      run.isOverdueChecked = true;
      void session.refreshRuns();
    }
    if (run.state === 'running' && ranMs > usualMs) {
      const longRun = this.describeLongRun(task, run, nowMs, leftMs);
      if (isStraggler(longRun)) {
        this.stopStraggler(task, run, longRun);
      }
    }
  }

  private describeLongRun(
    task: TaskRecord,
    run: RunRecord,
    nowMs: number,
    leftMs: number,
  ): LongRun {
    const {job, stepIndex} = task;
    const {session} = run;
    const {needs} = job.job.steps[stepIndex]!;
    return {
      ranMs: nowMs - run.orderedMs,
      expectedMs: job.expectedMs[stepIndex]!,
      isExpectationReliable: this.estimator.hasEnoughSamples(job.job.kind),
      knownNeedMs: job.longestRunMs[stepIndex]!,
      isRepeated: task.longestStoppedMs > 0,
      targetQuietMs: nowMs - Math.max(session.lastDoneMs, run.orderedMs),
      isTargetSuspect: session.health.kind !== 'sound',
      hasRoomElsewhere: [...this.sessions.values()].some(
        other =>
          other !== session &&
          other.isAvailable &&
          isAllowed(task, other) &&
          fitsIn(needs, other.freeResources()),
      ),
      leftMs,
    };
  }

  private stopStraggler(
    task: TaskRecord,
    run: RunRecord,
    longRun: LongRun,
  ): void {
    const {session} = run;
    const {ranMs, expectedMs, knownNeedMs, targetQuietMs} = longRun;
    task.longestStoppedMs = Math.max(task.longestStoppedMs, ranMs);
    // A target that completed other runs meanwhile isn't blamed for the length
    // of the task.
    if (targetQuietMs >= ranMs) {
      session.recordRunResult('failed', ranMs / expectedMs);
    }
    this.opts.log.emit('stragglerStopped', {
      taskId: task.taskId,
      target: session.report.targetId,
      ranMs: Math.round(ranMs),
      expectedMs: Math.round(expectedMs),
      knownNeedMs: Math.round(knownNeedMs),
      targetQuietMs: Math.round(targetQuietMs),
      isRepeated: longRun.isRepeated,
      isTargetSuspect: longRun.isTargetSuspect,
    });
    void session.stop(run);
  }

  private checkSession(session: TargetSession, nowMs: number): void {
    session.updateHealth();
    const isExpired = nowMs - session.lastContactMs > TARGET_EXPIRY_MS;
    if (session.runs.size > 0) {
      return;
    }
    if (session.isReleased) {
      this.removeSession(session, 'moved');
    } else if (session.report.state === 'gone') {
      this.removeSession(session, 'left');
    } else if (isExpired) {
      this.removeSession(session, 'silent');
    }
  }

  /** Stops using targets that the log has assigned to another shard. */
  releaseMovedTargets(): void {
    const nowMs = this.opts.clock.now();
    for (const session of [...this.sessions.values()]) {
      if (!this.opts.ownsTarget(session.report.targetId)) {
        session.isReleased = true;
        this.checkSession(session, nowMs);
      }
    }
  }

  /** Gives up a target that the scheduler of another shard has taken over. */
  private abandonTarget(session: TargetSession): void {
    const jobs = new Set([...session.runs.values()].map(run => run.task.job));
    for (const job of jobs) {
      this.failJob(job, 'schedulerLost');
    }
    if (this.sessions.get(session.report.targetId) === session) {
      this.removeSession(session, 'moved');
    }
  }

  /** Forgets the runs of a removed session when their lease has ended. */
  private async removeLostRuns(session: TargetSession): Promise<void> {
    const {clock} = this.opts;
    const leftMs = Math.max(0, session.latestRunEndMs - clock.now());
    await clock.sleep(leftMs, this.endController.signal);
    session.runs.forEach(run => this.removeOpenRun(run));
    this.schedulePlacement();
  }

  private removeSession(session: TargetSession, reason: string): void {
    session.close();
    if (session.runs.size > 0) {
      void this.removeLostRuns(session);
    }
    this.sessions.delete(session.report.targetId);
    this.opts.log.emit('targetGone', {target: session.report.targetId, reason});
  }
}

/** Target session as a candidate for a task. */
interface SessionCandidate {
  readonly session: TargetSession;
  readonly targetId: TargetId;
  free: ReturnType<TargetSession['freeResources']>;
  readonly slowness: number;
  readonly isSuspect: boolean;
  runs: number;
  /** Whether it is kept for a task that has to run alone. */
  isExclusive: boolean;
  /** Use by a task that waits; undefined if there is none. */
  reservation: Reservation | undefined;
}

/** Counts slots for tasks of the mean size of the running ones. */
function countSlots(candidates: readonly SessionCandidate[]): {
  readonly totalSlots: number;
  freeSlots: number;
} {
  const runs = candidates.flatMap(({session}) => [...session.runs.values()]);
  const cores = runs.reduce((sum, run) => sum + run.needs.cores, 0);
  const meanCores = cores / Math.max(1, runs.length);
  if (meanCores === 0) {
    return {totalSlots: Infinity, freeSlots: Infinity};
  }
  let totalSlots = 0;
  let freeSlots = 0;
  for (const candidate of candidates) {
    totalSlots += Math.floor(
      candidate.session.report.capacity.cores / meanCores,
    );
    freeSlots += Math.floor(candidate.free.cores / meanCores);
  }
  return {totalSlots, freeSlots};
}

/** Whether a run has taken clearly longer than expected on its target. */
function isOverdue(run: RunRecord, nowMs: number): boolean {
  const ranMs = nowMs - run.orderedMs;
  return ranMs > OVERDUE_FACTOR * run.expectedMs + OVERDUE_SLACK_MS;
}

function isAllowed(task: TaskRecord, session: TargetSession): boolean {
  const {job} = task.job;
  const step = job.steps[task.stepIndex]!;
  return (
    session.report.service === job.service &&
    !task.excludedTargets.has(session.report.targetId) &&
    (step.requiredLabel === undefined ||
      session.report.labels.includes(step.requiredLabel)) &&
    (step.maxPerTarget === undefined ||
      countTasksOnTarget(task.job, task.stepIndex, session) < step.maxPerTarget)
  );
}

function refusal(reason: JobRefusal, quote = EMPTY_QUOTE): JobOutcome {
  return {kind: 'refused', reason, retryAfterMs: TAKEOVER_RETRY_MS, quote};
}

/** Updates the place of a job of many tasks in the order of its priority. */
function updateYieldTimes(record: JobRecord): void {
  if (record.slots === 0 || record.widestStep <= record.slots) {
    return;
  }
  const {slots, criticalPathMs, expectedMs} = record;
  let workMs = 0;
  for (const {state, stepIndex} of record.tasks) {
    if (state === 'waiting' || state === 'blocked') {
      workMs += expectedMs[stepIndex]!;
    }
  }
  const endByMs = Math.min(record.objectiveAtMs, record.callerDeadlineAtMs);
  const times = yieldTimes({slots, workMs, criticalPathMs, endByMs});
  record.yieldsUntilMs = times.yieldsUntilMs;
  record.lateFromMs = times.lateFromMs;
}

/** Time until the last task of a quote starts, in milliseconds. */
function lastTaskStartMs(quote: JobQuote, record: JobRecord): number {
  return Math.max(
    ...quote.endsMs.map(
      (endMs, n) => endMs - record.expectedMs[record.tasks[n]!.stepIndex]!,
    ),
  );
}

function countTasksOnTarget(
  record: JobRecord,
  stepIndex: number,
  session: TargetSession,
): number {
  return record.tasks.filter(
    task => task.stepIndex === stepIndex && task.run?.session === session,
  ).length;
}
