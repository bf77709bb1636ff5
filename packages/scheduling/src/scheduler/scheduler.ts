import type {
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  KindId,
  RunTimeSample,
  ScheduledJob,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import {EMPTY_QUOTE} from '@papayarun/protocol';
import type {FencedTarget} from '../_lib/fenced_target.js';
import type {JobRecord} from '../_lib/job_record.js';
import {mayHaveRun} from '../_lib/may_have_run.js';
import type {PlacedRun} from '../_lib/placed_run.js';
import {placedTasks} from '../_lib/placed_tasks.js';
import type {TargetSessionHost} from '../_lib/target_session_host.js';
import {EarlierRuns} from '../earlier_runs/earlier_runs.js';
import {mayBegin} from '../evacuation_phase/may_begin.js';
import {Grant} from '../grant/grant.js';
import {JobAdmission} from '../job_admission/job_admission.js';
import {lastTaskStartMs} from '../job_admission/last_task_start_ms.js';
import {JobEnds} from '../job_ends/job_ends.js';
import {refusal} from '../job_ends/refusal.js';
import {jobKey} from '../job_key/job_key.js';
import {JobProgress} from '../job_progress/job_progress.js';
import {JobWatch} from '../job_watch/job_watch.js';
import {KnownTargets} from '../known_targets/known_targets.js';
import {LoadMeter} from '../load_meter/load_meter.js';
import {maxLocalWaitMs} from '../local_wait/max_local_wait_ms.js';
import {OpenJobs} from '../open_jobs/open_jobs.js';
import {OpenRuns} from '../open_runs/open_runs.js';
import {Placement} from '../placement/placement.js';
import {RunEnds} from '../run_ends/run_ends.js';
import {WaitingJobs} from '../waiting_jobs/waiting_jobs.js';
import type {SchedulerOptions} from './scheduler_options.js';

/**
 * Schedules the tasks of jobs on the targets of a shard.
 *
 * @description Active while the instance holds the grant of the shard. Joins the
 * parts, each of which owns the state of one stage of a job: waiting, admitted,
 * placed, running or ended. `docs/design/014-parts-of-the-scheduler.md` describes
 * them.
 */
export class Scheduler {
  private readonly grant = Grant.create();
  private readonly waiting = WaitingJobs.create();
  private readonly openJobs = OpenJobs.create();
  private readonly openRuns: OpenRuns;
  private readonly knownTargets: KnownTargets;
  private readonly admission: JobAdmission;
  private readonly jobEnds: JobEnds;
  private readonly progress: JobProgress;
  private readonly earlierRuns: EarlierRuns;
  private readonly runEnds: RunEnds;
  private readonly placement: Placement;
  private readonly watch: JobWatch;
  /** Undefined without a grant. */
  private host: TargetSessionHost<PlacedRun> | undefined;

  private constructor(private readonly opts: SchedulerOptions) {
    const {grant, waiting, openJobs} = this;
    const loadMeter = LoadMeter.create();
    const schedulePlacement = (): void => this.placement.schedulePlacement();
    const openRuns = OpenRuns.create(opts);
    const targets = KnownTargets.create(opts, grant, {
      onChange: schedulePlacement,
      onRunLapsed: run => this.runEnds.removeOpenRun(run),
    });
    const jobEnds = JobEnds.create(opts, {grant, targets, openJobs, waiting});
    const progress = JobProgress.create(opts, {
      waiting,
      jobEnds,
      schedulePlacement,
    });
    const earlierRuns = EarlierRuns.create(opts, {
      targets,
      openJobs,
      openRuns,
      progress,
      schedulePlacement,
    });
    this.openRuns = openRuns;
    this.knownTargets = targets;
    this.admission = JobAdmission.create(opts, {targets, waiting, loadMeter});
    this.jobEnds = jobEnds;
    this.progress = progress;
    this.earlierRuns = earlierRuns;
    this.runEnds = RunEnds.create(opts, {
      openRuns,
      earlierRuns,
      progress,
      jobEnds,
      schedulePlacement,
    });
    this.placement = Placement.create(opts, {
      grant,
      targets,
      waiting,
      openRuns,
      earlierRuns,
      jobEnds,
      loadMeter,
    });
    const {placement} = this;
    this.watch = JobWatch.create(opts, {targets, openJobs, jobEnds, placement});
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
    return this.grant.token;
  }

  /** Number of jobs with an unplaced task. */
  get waitingJobs(): number {
    return this.waiting.size;
  }

  /** Number of runs that are ordered and not known to have ended. */
  get runningTasks(): number {
    return this.knownTargets.runCount;
  }

  /** Age of the oldest job with an unplaced task, in milliseconds. */
  get oldestWaitMs(): number {
    return this.waiting.oldestWaitMs(this.opts.clock.now());
  }

  /** Whether a target has reported to this scheduler and is still in use. */
  hasTarget(targetId: TargetId): boolean {
    return this.knownTargets.has(targetId);
  }

  /** Number of known targets. */
  get targets(): number {
    return this.knownTargets.size;
  }

  /**
   * Starts to schedule under a grant. Each target is asked for its runs before
   * it gets new ones.
   *
   * @param token - Fencing token of the grant.
   */
  begin(token: number): void {
    if (this.grant.token !== undefined && this.grant.token >= token) {
      return;
    }
    this.end();
    this.host = this.createHost(token);
    this.grant.begin(token, this.opts.clock.now());
    this.opts.log.emit('schedulerBegun', {shard: this.opts.shard, token});
    void this.watch.watchLoop(this.grant.ending);
  }

  /**
   * Gives up the grant; the entries of the jobs pass them to the next
   * scheduler.
   */
  end(): void {
    const {token} = this.grant;
    if (token === undefined) {
      return;
    }
    this.host = undefined;
    this.grant.end();
    this.watch.wake();
    this.knownTargets.closeAll();
    for (const record of [...this.openJobs.values()]) {
      this.jobEnds.concludeJob(
        record,
        mayHaveRun(record)
          ? {
              kind: 'handedOver',
              placed: placedTasks(record, this.openRuns.byTask),
            }
          : refusal('notScheduler'),
      );
    }
    this.openRuns.clear();
    this.opts.log.emit('schedulerEnded', {shard: this.opts.shard, token});
  }

  /**
   * Processes a report of a target.
   *
   * @param report - The report.
   * @returns False if this scheduler holds no grant, or doubts the report; it has
   *   ignored the report so far.
   */
  acceptReport(report: TargetReport): boolean {
    return this.host
      ? this.knownTargets.acceptReport(report, this.host)
      : false;
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
    const present = this.openJobs.get(jobKey(job));
    if (present) {
      this.earlierRuns.logSentAgain(present, 'joined', requester);
      return present.outcome;
    }
    if (!job.placed && this.openJobs.hasNoRoomFor(job)) {
      return Promise.resolve(this.jobEnds.refuseForRoom(job, requester));
    }
    const nowMs = this.opts.clock.now();
    const {record, slots} = this.admission.prepareRecord(job, nowMs);
    record.requester = requester;
    const outcome =
      this.recallOutcome(record, slots, nowMs) ??
      this.refuseUnlessAdmitted(record, slots, nowMs);
    if (outcome) {
      return Promise.resolve(outcome);
    }
    this.admission.recordLoad(record, nowMs);
    this.openJobs.add(record);
    this.watch.watchNew(job);
    onAdmitted?.();
    this.progress.unblockSteps(record);
    this.progress.completeIfDone(record);
    this.placement.placeWaitingTasks();
    return record.outcome;
  }

  /**
   * Applies what is known of earlier runs of a job's tasks.
   *
   * @returns The outcome, if the job needs no more runs or can't get any.
   */
  private recallOutcome(
    record: JobRecord,
    slots: number,
    nowMs: number,
  ): JobOutcome | undefined {
    const isRecalled = this.earlierRuns.recallEarlierRuns(record);
    if (record.tasks.every(task => task.state === 'done')) {
      return {kind: 'completed', samples: []};
    }
    if (!this.host) {
      return refusal('notScheduler');
    }
    if (record.job.placed) {
      this.grant.recordHandover(nowMs);
    }
    if (isRecalled && slots === 0 && !this.openRuns.hasRunOf(record)) {
      return {kind: 'failed', reason: 'schedulerLost'};
    }
    if (record.tasks.some(({taskId}) => this.opts.crashes.isGivenUp(taskId))) {
      return {kind: 'failed', reason: 'targetLost'};
    }
    this.earlierRuns.markOrphansClaimed(record);
    return undefined;
  }

  /** Refuses a job of which nothing has run, unless it is admitted. */
  private refuseUnlessAdmitted(
    record: JobRecord,
    slots: number,
    nowMs: number,
  ): JobOutcome | undefined {
    const {isPromised} = record.job;
    if (mayHaveRun(record)) {
      return undefined;
    }
    if (!mayBegin(this.knownTargets.evacuationPhase, isPromised)) {
      return this.jobEnds.refuseNew(record, refusal('evacuated'));
    }
    if (this.admission.isUnservable(record, nowMs)) {
      return this.jobEnds.refuseNew(record, refusal('noTargets'));
    }
    if (isPromised) {
      return undefined;
    }
    const admission = this.admission.decideAdmission(record, slots, nowMs);
    if (admission.kind === 'refused') {
      return this.jobEnds.refuseNew(record, admission);
    }
    const waitMs = lastTaskStartMs(admission.quote, record);
    const slackMs = record.objectiveAtMs - nowMs - record.criticalPathMs;
    if (waitMs - this.opts.loopLagMs() > maxLocalWaitMs(slackMs)) {
      return this.jobEnds.deferNew(record, admission.quote);
    }
    return undefined;
  }

  /**
   * Adds a run time sample, from this scheduler or another one.
   *
   * @param kind - Kind of the job.
   * @param sample - Declared and measured run time of a task.
   */
  recordRunTime(kind: KindId, sample: RunTimeSample): void {
    this.opts.estimator.addSample(kind, sample.declaredMs, sample.ranMs);
  }

  /**
   * Estimates when the tasks of a job would end here.
   *
   * @param job - The job, which is not admitted by this.
   * @returns The quote; an empty one without a grant.
   */
  quote(job: ScheduledJob): JobQuote {
    if (
      !this.host ||
      this.openJobs.hasNoRoomFor(job) ||
      !mayBegin(this.knownTargets.evacuationPhase, false)
    ) {
      return EMPTY_QUOTE;
    }
    const nowMs = this.opts.clock.now();
    const {record, slots} = this.admission.prepareRecord(job, nowMs);
    return this.admission.isUnservable(record, nowMs)
      ? EMPTY_QUOTE
      : this.admission.decideAdmission(record, slots, nowMs).quote;
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
    for (const record of this.openJobs.withId(jobId)) {
      this.jobEnds.failJob(record, reason);
    }
  }

  /**
   * Cancels a submission that no caller waits for any more, beside others of its
   * job.
   *
   * @param job - The job, or the part of it that was submitted.
   */
  cancelSubmission(job: ScheduledJob): void {
    const record = this.openJobs.get(jobKey(job));
    if (record) {
      this.jobEnds.failJob(record, 'cancelled');
    }
  }

  /**
   * Refuses the jobs that wait and of which nothing has begun, when the data centre
   * is to be evacuated. Promised parts stay: other parts of their jobs may have begun.
   */
  refuseUnbegun(): void {
    for (const record of [...this.waiting.list]) {
      if (!record.job.isPromised && !mayHaveRun(record)) {
        this.jobEnds.failJob(record, 'evacuated');
      }
    }
  }

  /** Stops using targets that the log has assigned to another shard. */
  releaseMovedTargets(): void {
    this.knownTargets.releaseMovedTargets();
  }

  private createHost(token: number): TargetSessionHost<PlacedRun> {
    const {opts, openRuns, earlierRuns, runEnds, placement} = this;
    return {
      port: opts.targetClient,
      clock: opts.clock,
      log: opts.log,
      timing: opts.timing,
      token,
      handedOverMs: () => this.grant.handedOverMs,
      isFormerActive: () => opts.isFormerActive?.() ?? true,
      permissionEndMs: jobId => openRuns.permissionEndMs(jobId),
      catchUp: () => opts.catchUp?.(),
      onRunEnded: (run, how) => runEnds.handleRunEnded(run, how),
      onRunNotStarted: (run, reason) =>
        runEnds.handleRunNotStarted(run, reason),
      onEarlierRunDone: (targetId, taskId) =>
        earlierRuns.handleEarlierRunDone(targetId, taskId),
      onTargetRefusing: runs => runEnds.handleRefusing(runs),
      onFenced: target => this.handleFenced(target, token),
      onChange: () => placement.schedulePlacement(),
    };
  }

  private handleFenced(target: FencedTarget<PlacedRun>, token: number): void {
    if (this.grant.token !== token) {
      return;
    }
    const {shard} = this.opts;
    const {targetId} = target.report;
    this.opts.log.emit('schedulerFenced', {shard, token, target: targetId});
    if (!this.opts.ownsTarget(targetId)) {
      this.abandonTarget(target);
    } else {
      this.end();
      this.opts.onFenced(token);
    }
  }

  /** Gives up a target that the scheduler of another shard has taken over. */
  private abandonTarget(target: FencedTarget<PlacedRun>): void {
    const jobs = new Set([...target.runs.values()].map(run => run.record));
    for (const record of jobs) {
      this.jobEnds.failJob(record, 'schedulerLost');
    }
    this.knownTargets.removeMoved(target);
  }
}
