import {RetryBudget} from '@papayarun/dispatch';
import type {
  DataCentreId,
  InstanceId,
  JobId,
  JobOutcome,
  JobQuote,
  JobRefusal,
  PlacedTask,
  ScheduledJob,
  ShardId,
  SubmissionId,
} from '@papayarun/protocol';
import {EMPTY_QUOTE, PeerCallError} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import {splitJob} from '@papayarun/scheduling';
import {mayRunOn} from '../interrupted_jobs/may_run_on.js';
import type {JobSubmitterOptions} from './job_submitter_options.js';
import {selectQuoted} from './select_quoted.js';
import type {ShardScheduler} from './shard_scheduler.js';
import {WaitingSubmissions} from './waiting_submissions.js';

/**
 * Time beyond the deadline of the caller in which a scheduler may still
 * respond, in milliseconds.
 */
const RESPONSE_GRACE_MS = 100;
/**
 * Interval at which a scheduler is asked to cancel a job until it has answered,
 * in milliseconds; spans many round trips, so that overload adds few notices.
 */
const CANCEL_INTERVAL_MS = 100;
/** Delay between attempts while a scheduler takes over, in milliseconds. */
const TAKEOVER_RETRY_DELAY_MS = 20;
/**
 * Longest delay between attempts to hand a job over, in milliseconds. The delay
 * doubles, since a scheduler that is slow to take over refuses many jobs.
 */
const MAX_HANDOVER_RETRY_DELAY_MS = 160;
/**
 * Longest wait of a new job for a scheduler that takes over, in milliseconds.
 * Covers a leader election and a scheduler grant. A refusal instead of the wait
 * would lose the job of a caller that doesn't retry.
 */
const MAX_TAKEOVER_WAIT_MS = 400;
/**
 * Timeout of a quote from another scheduler, in milliseconds. It spans many
 * round trips.
 */
const QUOTE_TIMEOUT_MS = 20;
/**
 * Time after a failed quote request in which the scheduler isn't asked for
 * another quote, in milliseconds.
 */
const QUOTE_FAILURE_BACKOFF_MS = 300;
/**
 * Quotes requested per job on average at most. At the usual load few jobs need
 * any; under overload all do, and each quote adds to the load.
 */
const QUOTES_PER_JOB = 2;
/**
 * Age up to which a reading tells that a caller waits, in milliseconds. Together with
 * the silence after which a scheduler cancels the jobs of an instance it is shorter
 * than the time after which a caller sends a job again.
 */
const MAX_READING_AGE_MS = 200;
/** Retry delay sent to callers if no scheduler is reachable, in milliseconds. */
const NO_SCHEDULER_RETRY_MS = 1_000;

const NO_SCHEDULER_REFUSAL: Extract<JobOutcome, {kind: 'refused'}> = {
  kind: 'refused',
  reason: 'notScheduler',
  retryAfterMs: NO_SCHEDULER_RETRY_MS,
  quote: EMPTY_QUOTE,
};
const CANCELLED_REFUSAL: Extract<JobOutcome, {kind: 'refused'}> = {
  ...NO_SCHEDULER_REFUSAL,
  reason: 'cancelled',
};
const EVACUATED_REFUSAL: Extract<JobOutcome, {kind: 'refused'}> = {
  ...NO_SCHEDULER_REFUSAL,
  reason: 'evacuated',
};
/** Of an instance that reads no faster than its callers' deadlines pass. */
const OVERLOADED_REFUSAL: Extract<JobOutcome, {kind: 'refused'}> = {
  ...NO_SCHEDULER_REFUSAL,
  reason: 'tooLate',
};
const SCHEDULER_LOST_FAILURE = {
  kind: 'failed',
  reason: 'schedulerLost',
  mayRun: true,
} as const;

/**
 * Submits jobs to schedulers, and shares a job out over several shards when the
 * first scheduler refuses it or would make it wait.
 */
export class JobSubmitter {
  private readonly quoteBudget = RetryBudget.create(QUOTES_PER_JOB);
  /** Monotonic time until which a scheduler isn't asked for another quote. */
  private readonly quoteBackoffUntilMs = new Map<InstanceId, number>();
  /** Monotonic time by which runs without a scheduler have ended, by job. */
  private readonly lostRunsEndMs = new Map<JobId, number>();
  /** A scheduler knows the instance that waits for a job, not its callers. */
  private readonly submissions = WaitingSubmissions.create();

  private constructor(private readonly opts: JobSubmitterOptions) {}

  /**
   * Creates a job submitter.
   *
   * @param opts - Scheduler finder, network and the scheduler of this instance.
   * @returns The submitter.
   * @example
   * const submitter = JobSubmitter.create(opts);
   */
  static create(opts: JobSubmitterOptions): JobSubmitter {
    return new JobSubmitter(opts);
  }

  /** Instances whose schedulers run jobs of this one. */
  awaitedSchedulers(): IterableIterator<InstanceId> {
    return this.submissions.schedulers();
  }

  /**
   * Runs a job on a scheduler of this data centre, or shares it out over several
   * schedulers if that one refuses it.
   *
   * @param job - The job.
   * @param signal - Aborts when the caller disconnects.
   * @returns The outcome; only a refusal guarantees that no task has run.
   */
  async submit(job: ScheduledJob, signal: AbortSignal): Promise<JobOutcome> {
    const {clock, interrupted} = this.opts;
    const arrivedMs = clock.now();
    if (interrupted.mayRun(job.id)) {
      await interrupted.waitUntilEnded(job, signal);
      if (signal.aborted) {
        return CANCELLED_REFUSAL;
      }
      if (interrupted.mayRun(job.id)) {
        return {kind: 'failed', reason: 'deadline'};
      }
    }
    const logLeave = (): void => this.logLeave(job.id, arrivedMs);
    signal.addEventListener('abort', logLeave, {once: true});
    const currentJob = this.withElapsedTime(job, arrivedMs);
    const outcome = await this.submitToSchedulers(currentJob, signal);
    signal.removeEventListener('abort', logLeave);
    // Its caller may send the job again at once, to a scheduler that knows
    // nothing of the runs that the lost one has left.
    const leftMs = (this.lostRunsEndMs.get(job.id) ?? 0) - clock.now();
    if (leftMs > 0 && outcome.kind === 'failed') {
      await clock.sleep(leftMs, signal);
    }
    return outcome.kind === 'failed'
      ? {kind: 'failed', reason: outcome.reason}
      : outcome;
  }

  private logLeave(jobId: JobId, arrivedMs: number): void {
    this.opts.log.emit('callerLeft', {
      jobId,
      afterMs: Math.round(this.opts.clock.now() - arrivedMs),
      schedulers: this.submissions.schedulersOf(jobId),
    });
  }

  private async submitToSchedulers(
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const startedMs = this.opts.clock.now();
    this.quoteBudget.deposit();
    const {scheduler, outcome} = await this.submitToFirst(
      job,
      startedMs,
      signal,
    );
    if (outcome.kind !== 'refused') {
      return outcome;
    }
    const others = this.withinBudget(
      selectQuoted(this.opts.finder.reachableInService(), scheduler),
    );
    const currentJob = this.withElapsedTime(job, startedMs);
    const quotes = [
      ...(scheduler ? [outcome.quote] : []),
      ...(await Promise.all(
        others.map(other => this.requestQuote(other, currentJob)),
      )),
    ];
    const parts = splitJob(this.withElapsedTime(job, startedMs), quotes);
    return parts && !signal.aborted
      ? this.submitParts(
          scheduler ? [scheduler, ...others] : others,
          parts,
          quotes,
          signal,
        )
      : outcome;
  }

  /**
   * Submits a job to a scheduler of this data centre, the nearest first. While
   * schedulers take over, it waits for one that has targets.
   */
  private async submitToFirst(
    job: ScheduledJob,
    startedMs: number,
    signal: AbortSignal,
  ): Promise<{
    readonly scheduler: ShardScheduler | undefined;
    readonly outcome: JobOutcome;
  }> {
    const {clock, finder} = this.opts;
    const tried = new Set<ShardId>();
    const evacuated = new Set<DataCentreId>();
    let scheduler: ShardScheduler | undefined;
    let refusal = NO_SCHEDULER_REFUSAL;
    for (;;) {
      if (finder.areAllEvacuated()) {
        return {scheduler: undefined, outcome: EVACUATED_REFUSAL};
      }
      const next = finder
        .firstChoices(evacuated)
        .find(({shard}) => !tried.has(shard));
      if (next) {
        scheduler = next;
        const currentJob = this.withElapsedTime(job, startedMs);
        const outcome = await this.submitWithHandover(next, currentJob, signal);
        if (outcome.kind !== 'refused' || !hasNoTargets(outcome.reason)) {
          return {scheduler, outcome};
        }
        refusal = outcome;
        tried.add(next.shard);
        if (outcome.reason === 'evacuated') {
          evacuated.add(next.dataCentre);
        }
        if (outcome.reason === 'notScheduler') {
          // The grant has changed, but the change isn't applied here yet.
          finder.recordGrantChange();
        }
        continue;
      }
      const waitedMs = clock.now() - startedMs;
      if (
        !finder.isTakeoverRefusal(refusal.reason) ||
        waitedMs > Math.min(MAX_TAKEOVER_WAIT_MS, job.leftMs) ||
        signal.aborted
      ) {
        // The targets of the job's service may all be in evacuated data centres.
        const isEvacuated =
          refusal.reason === 'noTargets' &&
          (evacuated.size > 0 || finder.isAnyEvacuated());
        return {scheduler, outcome: isEvacuated ? EVACUATED_REFUSAL : refusal};
      }
      await clock.sleep(TAKEOVER_RETRY_DELAY_MS, signal);
      tried.clear();
    }
  }

  /**
   * Runs a job on a scheduler. An abort cancels the job there, but doesn't end
   * the wait for its outcome: its tasks may run until the scheduler has
   * concluded it.
   */
  private async submitTo(
    scheduler: ShardScheduler,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const {clock, registrations} = this.opts;
    const startedMs = clock.now();
    let isRepeated = false;
    for (;;) {
      const [answer, readUpToMs] = await Promise.all([
        registrations.register(this.withElapsedTime(job, startedMs), signal),
        this.readArrived(startedMs + job.leftMs, signal),
      ]);
      if (answer) {
        return answer;
      }
      if (signal.aborted) {
        return CANCELLED_REFUSAL;
      }
      if (readUpToMs === undefined) {
        return OVERLOADED_REFUSAL;
      }
      const hasWaited = clock.now() - readUpToMs > MAX_READING_AGE_MS;
      if (hasWaited || !registrations.isCurrent(job.id)) {
        continue;
      }
      const currentJob = this.withElapsedTime(job, startedMs);
      const submission = this.submitOnce(scheduler, currentJob, signal);
      const isStale = clock.now() - readUpToMs > MAX_READING_AGE_MS;
      if (isStale) {
        // The process was paused since, and the caller may have left.
        submission.cancel();
      }
      const outcome = await submission.outcome;
      const mayRepeat = isStale || !isRepeated;
      if (signal.aborted || !isCancelledUnstarted(outcome) || !mayRepeat) {
        return outcome;
      }
      // The scheduler had stood still, and took this instance for silent.
      isRepeated = true;
    }
  }

  /** Submits a job; what it returns can cancel it. */
  private submitOnce(
    scheduler: ShardScheduler,
    job: ScheduledJob,
    signal: AbortSignal,
  ): {readonly cancel: () => void; readonly outcome: Promise<JobOutcome>} {
    const {instanceId} = scheduler.grant;
    const {interrupted} = this.opts;
    const ended = new AbortController();
    this.submissions.add(instanceId, job);
    const submissionId = interrupted.recordSubmission(job);
    const withdraw = (): void =>
      void this.cancelUntilEnded(instanceId, job, ended.signal);
    const cancel = (): void => {
      interrupted.recordInterruption(job.id, submissionId);
      withdraw();
    };
    signal.addEventListener('abort', cancel, {once: true});
    const run = async (): Promise<JobOutcome> => {
      let outcome: JobOutcome | undefined;
      try {
        outcome =
          instanceId === this.opts.self
            ? await this.opts.schedule(scheduler.shard, job, submissionId)
            : await this.submitToPeer(scheduler, job, submissionId);
        return outcome;
      } finally {
        if (outcome && !mayRunOn(outcome)) {
          interrupted.recordEnd(job.id, submissionId);
        } else {
          interrupted.recordLeftRuns(job.id, submissionId);
        }
        signal.removeEventListener('abort', cancel);
        this.submissions.remove(instanceId, job);
        ended.abort();
      }
    };
    return {cancel: withdraw, outcome: run()};
  }

  /**
   * Reads what has arrived: the end of the caller's connection may lie behind its
   * request, and the job may have been sent again elsewhere. A reading from before a
   * pause of this process tells nothing of it.
   *
   * @param deadlineMs - Monotonic time at which the caller leaves, in milliseconds.
   * @param signal - Aborts when the caller disconnects.
   * @returns Monotonic time up to which all has been read, in milliseconds;
   *   undefined if there was no recent reading before the deadline.
   */
  private async readArrived(
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const {afterNextReading, clock} = this.opts;
    for (;;) {
      const readUpToMs = await afterNextReading();
      const nowMs = clock.now();
      if (signal.aborted || nowMs - readUpToMs <= MAX_READING_AGE_MS) {
        return readUpToMs;
      }
      if (nowMs >= deadlineMs) {
        return undefined;
      }
    }
  }

  private async submitToPeer(
    {shard, grant: {instanceId}}: ShardScheduler,
    job: ScheduledJob,
    submissionId: SubmissionId,
  ): Promise<JobOutcome> {
    const {clock, network, longestLeaseMs} = this.opts;
    const timeoutMs = Math.max(1, job.leftMs) + RESPONSE_GRACE_MS;
    const latestMs = clock.now() + timeoutMs;
    try {
      const {keepAliveMs} = this.opts;
      const req = {job, shard, keepAliveMs, submissionId};
      const res = await network.call(instanceId, 'scheduleJob', req, {
        timeoutMs,
      });
      if (res.outcome.kind === 'completed') {
        // This instance may become the next scheduler.
        res.outcome.samples.forEach(s => this.opts.recordRunTime(job.kind, s));
      }
      return res.outcome;
    } catch (err) {
      this.opts.log.emit('schedulerLost', {
        jobId: job.id,
        shard,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      if (err instanceof PeerCallError && !err.mayHaveBeenSent) {
        return NO_SCHEDULER_REFUSAL;
      }
      // A call that was held up may arrive only now, and start the job.
      this.withdraw(instanceId, job);
      const runsEndMs = Math.min(latestMs, clock.now() + longestLeaseMs);
      this.recordLostRuns(job.id, runsEndMs);
      return SCHEDULER_LOST_FAILURE;
    }
  }

  /**
   * Cancels a submission. A notice to another instance may be lost, so it is
   * repeated until the submission has ended.
   */
  private async cancelUntilEnded(
    instanceId: InstanceId,
    job: ScheduledJob,
    ended: AbortSignal,
  ): Promise<void> {
    while (!ended.aborted) {
      this.withdraw(instanceId, job);
      await this.opts.clock.sleep(CANCEL_INTERVAL_MS, ended);
    }
  }

  /**
   * Withdraws a submission from its scheduler, and cancels the job there if no
   * other caller waits for it.
   */
  private withdraw(instanceId: InstanceId, job: ScheduledJob): void {
    this.submissions.remove(instanceId, job);
    if (this.submissions.has(instanceId, job.id)) {
      return;
    }
    if (instanceId === this.opts.self) {
      this.opts.cancel(job.id);
    } else {
      this.opts.network.notify(instanceId, 'cancelJob', {jobId: job.id});
    }
  }

  /** As many schedulers as may still be asked for a quote, the nearest first. */
  private withinBudget(
    schedulers: readonly ShardScheduler[],
  ): ShardScheduler[] {
    return schedulers.filter(() => this.quoteBudget.tryWithdraw());
  }

  /** Copies a job with its age and remaining time updated to now. */
  private withElapsedTime(job: ScheduledJob, sinceMs: number): ScheduledJob {
    const spentMs = this.opts.clock.now() - sinceMs;
    return {
      ...job,
      ageMs: job.ageMs + spentMs,
      leftMs: job.leftMs - spentMs,
    };
  }

  /**
   * Asks a scheduler when the tasks of a job would end there; an empty quote if
   * it doesn't respond or recently failed to.
   */
  private async requestQuote(
    {shard, grant: {instanceId}}: ShardScheduler,
    job: ScheduledJob,
  ): Promise<JobQuote> {
    const {clock, log, network, self} = this.opts;
    if (instanceId === self) {
      return this.opts.quote(shard, job);
    }
    if (clock.now() < (this.quoteBackoffUntilMs.get(instanceId) ?? 0)) {
      return EMPTY_QUOTE;
    }
    const req = {job: {...job, spec: ''}, shard};
    const opts = {timeoutMs: QUOTE_TIMEOUT_MS};
    try {
      const res = await network.call(instanceId, 'quoteJob', req, opts);
      this.quoteBackoffUntilMs.delete(instanceId);
      return res.quote;
    } catch (err) {
      this.quoteBackoffUntilMs.set(
        instanceId,
        clock.now() + QUOTE_FAILURE_BACKOFF_MS,
      );
      log.emit('noQuote', {
        jobId: job.id,
        scheduler: instanceId,
        err: (err as Error).message,
      });
      return EMPTY_QUOTE;
    }
  }

  /** Runs the parts of a job; a part that doesn't complete aborts the others. */
  private async submitParts(
    schedulers: readonly ShardScheduler[],
    parts: ReadonlyArray<ScheduledJob | undefined>,
    quotes: readonly JobQuote[],
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const partsAbort = new AbortController();
    const cancel = (): void => partsAbort.abort();
    signal.addEventListener('abort', cancel, {once: true});
    this.opts.log.emit('jobSplit', {
      jobId: parts.find(part => part)?.id,
      tasks: parts.map(part => part?.steps[0]?.count ?? 0),
      schedulers: schedulers.map(({shard}) => shard),
      lastEndsMs: quotes.map(({endsMs}) => Math.round(Math.max(0, ...endsMs))),
      limitsMs: quotes.map(({limitMs}) => Math.round(limitMs)),
    });
    let completed = 0;
    /** In the order of their ends: the first is the cause of the others. */
    const unsuccessful: Array<Exclude<JobOutcome, {kind: 'completed'}>> = [];
    await Promise.all(
      schedulers.map(async (scheduler, i) => {
        const part = parts[i];
        if (!part) {
          return;
        }
        const outcome = await this.submitWithHandover(
          scheduler,
          part,
          partsAbort.signal,
        );
        if (outcome.kind === 'completed') {
          completed++;
        } else {
          unsuccessful.push(outcome);
          partsAbort.abort();
        }
      }),
    );
    signal.removeEventListener('abort', cancel);
    const [cause] = unsuccessful;
    if (!cause) {
      return {kind: 'completed', samples: []};
    }
    const failed = unsuccessful.find(outcome => outcome.kind === 'failed');
    return completed === 0 && !failed
      ? cause
      : (failed ?? SCHEDULER_LOST_FAILURE);
  }

  /** Runs a job on a scheduler, and on its successors if it hands the job over. */
  private async submitWithHandover(
    scheduler: ShardScheduler,
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<Exclude<JobOutcome, {kind: 'handedOver'}>> {
    const {clock, log} = this.opts;
    const startedMs = clock.now();
    let {grant} = scheduler;
    let handover: Handover | undefined;
    let retryDelayMs = TAKEOVER_RETRY_DELAY_MS;
    for (;;) {
      const currentJob = this.withElapsedTime(job, startedMs);
      const outcome = await this.submitTo(
        {...scheduler, grant},
        {...currentJob, placed: handover?.placed ?? job.placed},
        signal,
      );
      if (outcome.kind === 'handedOver') {
        handover = this.recordHandover(job, grant, outcome.placed, startedMs);
      } else if (handover && outcome.kind === 'refused') {
        log.emit('handoverRefused', {
          jobId: job.id,
          scheduler: grant.instanceId,
          shard: scheduler.shard,
          reason: outcome.reason,
          token: grant.token,
          waitedMs: Math.round(clock.now() - handover.atMs),
        });
        // Its grant may be in force here already, but not there yet.
        const leftMs = Math.max(0, handover.runsEndMs - clock.now());
        await clock.sleep(Math.min(retryDelayMs, leftMs), signal);
        retryDelayMs = Math.min(2 * retryDelayMs, MAX_HANDOVER_RETRY_DELAY_MS);
      } else {
        return outcome;
      }
      const successor =
        clock.now() < handover.runsEndMs && !signal.aborted
          ? await this.opts.finder.waitForSuccessor(
              scheduler.shard,
              handover.from,
              startedMs + job.leftMs,
              signal,
            )
          : undefined;
      if (!successor) {
        return SCHEDULER_LOST_FAILURE;
      }
      if (successor.token !== grant.token) {
        log.emit('jobHandedOver', {
          jobId: job.id,
          to: successor.instanceId,
          token: successor.token,
          placed: handover.placed.length,
        });
      }
      grant = successor;
    }
  }

  /** Records that the runs of a job go on without a scheduler. */
  private recordHandover(
    job: ScheduledJob,
    from: SchedulerGrant,
    placed: readonly PlacedTask[],
    startedMs: number,
  ): Handover {
    const atMs = this.opts.clock.now();
    const runsEndMs = Math.min(
      atMs + this.opts.longestLeaseMs,
      startedMs + job.leftMs,
    );
    this.recordLostRuns(job.id, runsEndMs);
    return {from, placed, atMs, runsEndMs};
  }

  /** Records until when runs of a job may go on that no scheduler has. */
  private recordLostRuns(jobId: JobId, endMs: number): void {
    const nowMs = this.opts.clock.now();
    for (const [id, knownEndMs] of this.lostRunsEndMs) {
      if (knownEndMs <= nowMs) {
        this.lostRunsEndMs.delete(id);
      }
    }
    const knownMs = this.lostRunsEndMs.get(jobId) ?? -Infinity;
    this.lostRunsEndMs.set(jobId, Math.max(knownMs, endMs));
  }
}

/** Hand-over of a job by a scheduler that has lost its grant. */
interface Handover {
  /** Grant that was lost. */
  readonly from: SchedulerGrant;
  readonly placed: readonly PlacedTask[];
  /** Monotonic time of the hand-over, in milliseconds. */
  readonly atMs: number;
  /**
   * Monotonic time by which the runs have ended unless another scheduler takes
   * them over, or at which the caller stops waiting; in milliseconds.
   */
  readonly runsEndMs: number;
}

/** Whether a submission was cancelled before a task of it had started. */
function isCancelledUnstarted(outcome: JobOutcome): boolean {
  return outcome.kind === 'refused' && outcome.reason === 'cancelled';
}

/** Whether a scheduler refused a job since it has nothing to run it on. */
function hasNoTargets(reason: JobRefusal): boolean {
  return (
    reason === 'notScheduler' ||
    reason === 'noTargets' ||
    reason === 'evacuated'
  );
}
