import type {
  BootId,
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  KindId,
  RunTimeSample,
  ScheduledJob,
  ShardId,
  SubmissionId,
  TargetId,
  TargetReport,
  TaskLoss,
} from '@papayarun/protocol';
import {dataCentreOfShard, EMPTY_QUOTE} from '@papayarun/protocol';
import type {ControlState, SchedulerGrant} from '@papayarun/releases';
import {shardsInService} from '@papayarun/releases';
import {
  CrashEvidence,
  jobKey,
  RunTimeEstimator,
  Scheduler,
} from '@papayarun/scheduling';
import {cancelledOutcome} from '../cancelled_jobs/cancelled_outcome.js';
import {mayRunOn} from '../interrupted_jobs/may_run_on.js';
import {processOfSubmission} from '../interrupted_jobs/process_of_submission.js';
import type {LocalSchedulersOptions} from './local_schedulers_options.js';
import type {WithdrawalCause} from './withdrawal_cause.js';

const CANCELLED: JobOutcome = {
  kind: 'refused',
  reason: 'cancelled',
  retryAfterMs: 500,
  quote: EMPTY_QUOTE,
};
const NOT_SCHEDULER: JobOutcome = {
  kind: 'refused',
  reason: 'notScheduler',
  retryAfterMs: 500,
  quote: EMPTY_QUOTE,
};

/** Submission of a job or of a part of one, whose outcome an instance waits for. */
interface Submission {
  readonly requester: InstanceId;
  /** The job, or the part of it. */
  readonly job: ScheduledJob;
  /** Monotonic time of the submission, in milliseconds. */
  readonly atMs: number;
  readonly submissionId: SubmissionId | undefined;
  /** Whether the requester sends something while it waits. */
  readonly isKeptAlive: boolean;
  /** Whether it was cancelled since the requester was lost. */
  isRequesterLost: boolean;
  /** Whether its caller has cancelled the job. */
  isEnded: boolean;
}

/**
 * Schedulers of the shards that are granted to this entry instance.
 */
export class LocalSchedulers {
  private readonly estimator = RunTimeEstimator.create();
  private readonly crashes: CrashEvidence;
  private readonly schedulers = new Map<ShardId, Scheduler>();
  private appliedTargetShards: ControlState['targetShards'] | undefined;
  /** Latest two grants of each shard, the earlier one first. */
  private readonly latestGrants = new Map<
    ShardId,
    readonly [SchedulerGrant | undefined, SchedulerGrant]
  >();
  /** Token of the last grant of each shard that a target has rejected. */
  private readonly fencedTokens = new Map<ShardId, number>();
  /** Submissions without an outcome, except cancelled ones. */
  private readonly submissions = new Map<
    ShardId,
    Map<JobId, Set<Submission>>
  >();

  /** Submissions without an outcome that their requester has cancelled. */
  private readonly withdrawn = new Set<Submission>();
  /** Shards and names of all submissions without an outcome. */
  private readonly unended = new Set<string>();

  private constructor(private readonly opts: LocalSchedulersOptions) {
    this.crashes = CrashEvidence.create(opts.onTaskLost);
  }

  /**
   * Creates the schedulers, none of them granted.
   *
   * @param opts - Identity, target client, control state, clock and log.
   * @returns The schedulers.
   * @example
   * const schedulers = LocalSchedulers.create(opts);
   */
  static create(opts: LocalSchedulersOptions): LocalSchedulers {
    return new LocalSchedulers(opts);
  }

  /**
   * Starts and stops schedulers according to the grants in force.
   *
   * @param boot - Incarnation of this instance.
   * @returns The shards whose scheduler was started.
   */
  applyGrants(boot: BootId): ShardId[] {
    const {schedulers: grants} = this.opts.store.state;
    const begun: ShardId[] = [];
    const {targetShards} = this.opts.store.state;
    if (this.appliedTargetShards !== targetShards) {
      this.appliedTargetShards = targetShards;
      this.schedulers.forEach(scheduler => scheduler.releaseMovedTargets());
    }
    for (const shard of this.schedulers.keys()) {
      if (!this.isGranted(shard, boot)) {
        this.schedulers.get(shard)!.end();
      }
    }
    for (const [id, grant] of Object.entries(grants)) {
      const shard = id as ShardId;
      const {token} = grant;
      this.recordGrant(shard, grant);
      if (this.isGranted(shard, boot) && this.token(shard) !== token) {
        this.schedulerOf(shard).begin(token);
        begun.push(shard);
      }
    }
    return begun;
  }

  /** Fencing token under which a shard is scheduled here, if it is. */
  token(shard: ShardId): number | undefined {
    return this.schedulers.get(shard)?.token;
  }

  /**
   * Runs a job on a shard, or refuses it.
   *
   * @param requester - Instance that waits for the outcome.
   * @param shard - The shard.
   * @param job - The job.
   * @param isKeptAlive - Whether the requester sends something while it waits,
   *   so that its silence means that it is lost.
   * @param submissionId - Name of the submission, if the requester names it.
   */
  async submit(
    requester: InstanceId,
    shard: ShardId,
    job: ScheduledJob,
    isKeptAlive = false,
    submissionId?: SubmissionId,
  ): Promise<JobOutcome> {
    const scheduler = this.schedulers.get(shard);
    if (!scheduler) {
      return NOT_SCHEDULER;
    }
    const byJob = this.submissionsOf(shard);
    const submissions = byJob.get(job.id) ?? new Set();
    const atMs = this.opts.clock.now();
    const submission: Submission = {
      requester,
      job,
      atMs,
      submissionId,
      isKeptAlive,
      isRequesterLost: false,
      isEnded: false,
    };
    byJob.set(job.id, submissions.add(submission));
    const name = `${shard} ${submissionId}`;
    this.unended.add(name);
    try {
      if (requester !== this.opts.self && !job.placed) {
        // A requester that was paused while it sent the job cancels it right behind.
        await this.opts.afterNextReading?.();
      }
      if (submission.isEnded) {
        return cancelledOutcome(job);
      }
      if (!isAwaited(job, submissions)) {
        return CANCELLED;
      }
      const outcome = await scheduler.submit(job, requester, () => {
        if (requester === this.opts.self) {
          this.opts.onAdmitted();
        }
      });
      if (submission.isRequesterLost && submissionId && !mayRunOn(outcome)) {
        this.opts.onLostSubmissionEnded(job.id, submissionId);
      }
      return outcome;
    } finally {
      this.unended.delete(name);
      this.withdrawn.delete(submission);
      submissions.delete(submission);
      if (submissions.size === 0 && byJob.get(job.id) === submissions) {
        byJob.delete(job.id);
      }
    }
  }

  /** Estimates when the tasks of a job would end on a shard. */
  quote(shard: ShardId, job: ScheduledJob): JobQuote {
    return this.schedulers.get(shard)?.quote(job) ?? EMPTY_QUOTE;
  }

  /** Processes a report of a target; false if its shard isn't granted here. */
  acceptReport(shard: ShardId, report: TargetReport): boolean {
    return this.schedulers.get(shard)?.acceptReport(report) ?? false;
  }

  /** Records a run time that another instance has measured. */
  recordRunTime(kind: KindId, {declaredMs, ranMs}: RunTimeSample): void {
    this.estimator.addSample(kind, declaredMs, ranMs);
  }

  /** Records that a target crashed under a task of another instance. */
  recordTaskLoss(loss: TaskLoss): void {
    this.crashes.recordLoss(loss, this.opts.clock.now());
  }

  /**
   * Cancels all submissions of a job by an instance, and ends those parts of the
   * job that no other instance waits for.
   *
   * @param requester - The instance.
   * @param jobId - The job.
   * @param cause - Why it is cancelled, for the log.
   * @param heardMsAgo - Time since the instance was last heard, in
   *   milliseconds; undefined without a link to it.
   */
  cancel(
    requester: InstanceId,
    jobId: JobId,
    cause: WithdrawalCause,
    heardMsAgo?: number,
  ): void {
    for (const [shard, byJob] of this.submissions) {
      const submissions = byJob.get(jobId) ?? new Set();
      const cancelled = [...submissions].filter(
        submission => submission.requester === requester,
      );
      for (const submission of cancelled) {
        submissions.delete(submission);
        submission.isRequesterLost = cause !== 'notice';
        const {isRequesterLost, submissionId} = submission;
        if (!isRequesterLost) {
          this.withdrawn.add(submission);
        } else if (submissionId) {
          this.opts.onRequesterLost(jobId, submissionId);
        }
      }
      if (cancelled.length > 0) {
        this.opts.log.emit('submissionWithdrawn', {
          jobId,
          requester,
          shard,
          cause,
          afterMs: this.ageMs(cancelled),
          heardMsAgo: heardMsAgo && Math.round(heardMsAgo),
          others: submissions.size,
        });
      }
      for (const {job} of cancelled) {
        if (!isAwaited(job, submissions)) {
          this.schedulers.get(shard)?.cancelSubmission(job);
        }
      }
    }
  }

  /**
   * Ends a job that its caller has cancelled, whichever instances wait for it.
   *
   * @param jobId - The job.
   * @returns Whether it was scheduled here.
   */
  endJob(jobId: JobId): boolean {
    let isFound = false;
    for (const [shard, byJob] of this.submissions) {
      const submissions = byJob.get(jobId);
      if (submissions) {
        isFound = true;
        submissions.forEach(submission => (submission.isEnded = true));
        this.schedulers.get(shard)?.cancel(jobId, 'cancelledByCaller');
      }
    }
    return isFound;
  }

  /**
   * Monotonic time at which an instance that waits for a job was last heard, in
   * milliseconds; undefined if one of them isn't heard while it waits, -Infinity
   * if nobody waits.
   */
  private requesterHeardMs(shard: ShardId, jobId: JobId): number | undefined {
    let latestMs = -Infinity;
    for (const submission of this.submissions.get(shard)?.get(jobId) ?? []) {
      const {requester, atMs, isKeptAlive} = submission;
      if (!isKeptAlive && requester !== this.opts.self) {
        return undefined;
      }
      latestMs = Math.max(latestMs, this.opts.heardMs(requester) ?? atMs);
    }
    return latestMs;
  }

  /**
   * Time for which runs of a job may go on that its scheduler here doesn't know of,
   * in milliseconds. What is told of other submissions of a process that waits for
   * the job may be due to the loss of a link; it waits itself for what they have
   * left, unlike a later process of its instance.
   */
  private otherRunsForMs(shard: ShardId, jobId: JobId): number {
    const isKnown = (submissionId: SubmissionId): boolean =>
      this.unended.has(`${shard} ${submissionId}`) ||
      this.awaits(shard, jobId, processOfSubmission(submissionId));
    return this.opts.otherRunsForMs?.(jobId, isKnown) ?? 0;
  }

  /** Whether a process waits for a job. */
  private awaits(shard: ShardId, jobId: JobId, process: string): boolean {
    const waiting = this.submissions.get(shard)?.get(jobId) ?? [];
    return [...waiting].some(
      ({submissionId}) =>
        submissionId !== undefined &&
        processOfSubmission(submissionId) === process,
    );
  }

  /** Refuses the jobs that wait and have not begun, when they may begin no more. */
  refuseUnbegun(): void {
    this.schedulers.forEach(scheduler => scheduler.refuseUnbegun());
  }

  /** Instances that wait for jobs and send something while they do. */
  keptAliveRequesters(): Set<InstanceId> {
    const requesters = new Set<InstanceId>();
    for (const byJob of this.submissions.values()) {
      for (const submissions of byJob.values()) {
        for (const {requester, isKeptAlive} of submissions) {
          if (isKeptAlive) {
            requesters.add(requester);
          }
        }
      }
    }
    return requesters;
  }

  /**
   * Cancels all jobs of an instance that no other one waits for.
   *
   * @param requester - The instance.
   * @param cause - Why they are cancelled, for the log.
   * @param heardMsAgo - Time since the instance was last heard, in
   *   milliseconds; undefined without a link to it.
   */
  cancelAllOf(
    requester: InstanceId,
    cause: WithdrawalCause,
    heardMsAgo?: number,
  ): void {
    const jobIds = new Set<JobId>();
    for (const byJob of this.submissions.values()) {
      for (const [jobId, submissions] of byJob) {
        if ([...submissions].some(other => other.requester === requester)) {
          jobIds.add(jobId);
        }
      }
    }
    for (const jobId of jobIds) {
      this.cancel(requester, jobId, cause, heardMsAgo);
    }
    // It can't tell any more that those have ended which it has cancelled before.
    for (const submission of this.withdrawn) {
      if (submission.requester === requester) {
        submission.isRequesterLost = true;
      }
    }
  }

  /** Targets that the log assigns to a shard but that no session exists for. */
  missingTargets(shard: ShardId): TargetId[] {
    const scheduler = this.schedulers.get(shard);
    if (scheduler?.token === undefined) {
      return [];
    }
    const {targetShards} = this.opts.store.state;
    return (Object.keys(targetShards) as TargetId[]).filter(
      targetId =>
        targetShards[targetId] === shard && !scheduler.hasTarget(targetId),
    );
  }

  /** Shards that are scheduled here. */
  get shards(): ShardId[] {
    return [...this.schedulers.keys()].filter(
      shard => this.token(shard) !== undefined,
    );
  }

  /** Number of jobs with tasks that wait for a target. */
  get waitingJobs(): number {
    return this.sum(scheduler => scheduler.waitingJobs);
  }

  /** Values of the gauges to export as metrics. */
  gauges(): Record<string, number> {
    const all = [...this.schedulers.values()];
    return {
      scheduler_token: Math.max(0, ...all.map(({token}) => token ?? 0)),
      scheduled_shards: this.shards.length,
      startable_shards: this.mayStart ? this.shards.length : 0,
      waiting_jobs: this.waitingJobs,
      oldest_wait_ms: Math.max(0, ...all.map(({oldestWaitMs}) => oldestWaitMs)),
      running_tasks: this.sum(scheduler => scheduler.runningTasks),
      targets: this.sum(scheduler => scheduler.targets),
    };
  }

  /** Whether tasks may be started in the data centre. */
  private get mayStart(): boolean {
    return this.opts.evacuationPhase?.().kind !== 'evacuated';
  }

  /** Gives up all shards; their jobs pass to the next schedulers. */
  end(): void {
    for (const scheduler of this.schedulers.values()) {
      scheduler.end();
    }
  }

  private recordGrant(shard: ShardId, grant: SchedulerGrant): void {
    const [, latest] = this.latestGrants.get(shard) ?? [];
    if (latest?.token !== grant.token) {
      this.latestGrants.set(shard, [latest, grant]);
    }
  }

  /** Whether another instance that held a shard before may still schedule it. */
  private isFormerActive(shard: ShardId): boolean {
    const {isHolderActive, self} = this.opts;
    const [former] = this.latestGrants.get(shard) ?? [];
    return (
      former !== undefined &&
      former.instanceId !== self &&
      isHolderActive(former)
    );
  }

  private isGranted(shard: ShardId, boot: BootId): boolean {
    const {self, dataCentre, store} = this.opts;
    const grant = store.state.schedulers[shard];
    return (
      dataCentreOfShard(shard) === dataCentre &&
      grant?.instanceId === self &&
      grant.boot === boot &&
      grant.token > (this.fencedTokens.get(shard) ?? 0)
    );
  }

  private schedulerOf(shard: ShardId): Scheduler {
    let scheduler = this.schedulers.get(shard);
    if (!scheduler) {
      const {store, metrics} = this.opts;
      scheduler = Scheduler.create({
        ...this.opts,
        shard,
        estimator: this.estimator,
        crashes: this.crashes,
        requesterHeardMs: jobId => this.requesterHeardMs(shard, jobId),
        otherRunsForMs: jobId => this.otherRunsForMs(shard, jobId),
        isFormerActive: () => this.isFormerActive(shard),
        shardCount: () => shardsInService(store.state).length,
        ownsTarget: targetId => {
          const assigned = store.state.targetShards[targetId];
          return assigned === undefined || assigned === shard;
        },
        onFenced: token => this.fencedTokens.set(shard, token),
        onOutcome: (job, outcome, tookMs, forecast) => {
          const verdict = 'reason' in outcome ? outcome.reason : outcome.kind;
          metrics.recordJob(job.kind, verdict, tookMs);
          if (forecast && outcome.kind === 'completed') {
            metrics.recordForecastError(job.kind, tookMs - forecast.endMs);
          } else if (forecast && outcome.kind === 'refused') {
            metrics.recordFreeSlots(job.kind, forecast.freeSlots);
          }
        },
      });
      this.schedulers.set(shard, scheduler);
    }
    return scheduler;
  }

  /** Time since the first of some submissions, in whole milliseconds. */
  private ageMs(submissions: readonly Submission[]): number {
    const firstMs = Math.min(...submissions.map(({atMs}) => atMs));
    return Math.round(this.opts.clock.now() - firstMs);
  }

  private submissionsOf(shard: ShardId): Map<JobId, Set<Submission>> {
    let byJob = this.submissions.get(shard);
    if (!byJob) {
      byJob = new Map();
      this.submissions.set(shard, byJob);
    }
    return byJob;
  }

  private sum(count: (scheduler: Scheduler) => number): number {
    let total = 0;
    for (const scheduler of this.schedulers.values()) {
      total += count(scheduler);
    }
    return total;
  }
}

/** Whether some submissions are of a job, or of the same part of it. */
function isAwaited(
  job: ScheduledJob,
  submissions: ReadonlySet<Submission>,
): boolean {
  const key = jobKey(job);
  return [...submissions].some(other => jobKey(other.job) === key);
}
