import type {
  InstanceId,
  JobEnd,
  JobId,
  JobOutcome,
  JobRegistration,
  RegisteredJob,
  RegistrationId,
  ReleasedJob,
  ScheduledJob,
  SubmissionId,
} from '@papayarun/protocol';
import {rendezvousOrder} from '@papayarun/protocol';
import {NoticeBatcher} from '../interrupted_jobs/notice_batcher.js';
import {processOfSubmission} from '../interrupted_jobs/process_of_submission.js';
import {jobEndOf} from './job_end_of.js';
import type {JobRegistrationsOptions} from './job_registrations_options.js';
import {outcomeOfEnd} from './outcome_of_end.js';

/**
 * Longest wait for the answer of a registrar, in milliseconds. Spans many round
 * trips and a pause of its garbage collector.
 */
const ANSWER_TIMEOUT_MS = 50;
/** Time after a failure in which a registrar isn't asked, in milliseconds. */
const FAILURE_BACKOFF_MS = 300;
/** Longest wait of one call for another process that has the job, in ms. */
const MAX_CALL_WAIT_MS = 1_000;
/**
 * Time in which other instances name their jobs to the registrar that takes the
 * place of a lost one, in milliseconds.
 */
const ADOPTION_MS = 100;
/**
 * Time after which an instance with a new link counts as alive, in milliseconds: some
 * round trips, since each sends a heartbeat at once.
 */
const FIRST_HEARTBEAT_MS = 20;
/**
 * Time before the deadline at which a job that another process still has is
 * answered, in milliseconds.
 */
const ANSWER_MARGIN_MS = 20;

/**
 * Age up to which a registration holds a job without being renewed, as a share of the
 * time for which a registrar holds it after the loss of its process.
 */
const CURRENT_SHARE = 0.5;

/**
 * Delay of a notice of released jobs, in milliseconds. A copy that comes within it
 * waits for the notice.
 */
const RELEASE_DELAY_MS = 100;
/** Shortest interval of these notices in the long run, in milliseconds. */
const RELEASE_INTERVAL_MS = 10;
const RELEASE_BURST = 10;

/** Job that callers of this instance wait for. */
interface OpenJob {
  readonly jobId: JobId;
  readonly registrationId: RegistrationId;
  /** Monotonic time by which its runs have ended, in milliseconds. */
  untilMs: number;
  callers: number;
  /** Registrars that may hold it for this process. */
  readonly registrars: Set<InstanceId>;
  /** Aborted when the last caller has left or been answered. */
  readonly closed: AbortController;
  /** Monotonic time at which a registrar was asked last, in milliseconds. */
  askedMs: number;
  isAsking: boolean;
  /** Registrar that has granted the job last, as long as it is linked. */
  grantedBy: InstanceId | undefined;
  /** Answer of a registrar that didn't wait; absent before the first submission. */
  firstAnswer?: Promise<JobRegistration | undefined>;
  /** The answer when no other process has the job; undefined without one. */
  registration?: Promise<JobRegistration | undefined>;
  /** Whether this process may submit it, or has. */
  mayRun: boolean;
  end: JobEnd | undefined;
}

/**
 * Registrations of the jobs of an entry instance, each before it is submitted.
 *
 * @description A copy of a request may arrive at any instance, while the job runs at
 * another one or after it was answered. A copy waits for the process that has the
 * job and gets its answer. Without a registrar that answers, jobs run unregistered.
 */
export class JobRegistrations {
  private readonly open = new Map<JobId, OpenJob>();
  /** Ends that no registrar has been told yet. */
  private readonly untoldEnds = new Map<JobId, JobEnd>();
  /** Monotonic time until which a registrar isn't asked. */
  private readonly backoffUntilMs = new Map<InstanceId, number>();
  private count = 0;
  private unregisteredCount = 0;
  private answeredCopyCount = 0;

  private readonly releases: NoticeBatcher<OpenJob>;

  private constructor(private readonly opts: JobRegistrationsOptions) {
    this.releases = NoticeBatcher.create(opts.clock, {
      delayMs: RELEASE_DELAY_MS,
      intervalMs: () => RELEASE_INTERVAL_MS,
      burst: RELEASE_BURST,
      maxItems: Infinity,
      send: jobs => this.sendReleases(jobs),
    });
  }

  /**
   * Creates the registrations.
   *
   * @param opts - Name of the process, network and registrars.
   * @returns The registrations, none so far.
   * @example
   * const registrations = JobRegistrations.create(opts);
   */
  static create(opts: JobRegistrationsOptions): JobRegistrations {
    return new JobRegistrations(opts);
  }

  /** Number of jobs so far that no registrar has answered for. */
  get unregisteredJobs(): number {
    return this.unregisteredCount;
  }

  /** Number of requests so far that got the answer of an earlier one. */
  get answeredCopies(): number {
    return this.answeredCopyCount;
  }

  /**
   * Runs a request for a job, and releases the job when its last request has ended.
   *
   * @param job - The job.
   * @param submit - Calls `register` before each submission of the job.
   * @returns The outcome.
   */
  async run(
    job: ScheduledJob,
    submit: () => Promise<JobOutcome>,
  ): Promise<JobOutcome> {
    const open = this.join(job);
    let isAwaited = true;
    try {
      const outcome = await submit();
      open.end ??= jobEndOf(outcome);
      isAwaited = open.end === undefined && !isRefusalAtOnce(outcome);
      return outcome;
    } finally {
      this.leave(open, isAwaited);
    }
  }

  /**
   * Waits until no other process has a job. The first submission of the job has it
   * registered.
   *
   * @param job - The job, which `run` runs.
   * @param signal - Aborts when the caller disconnects.
   * @returns The outcome of a job that must not be submitted; undefined if it may be.
   */
  async register(
    job: ScheduledJob,
    signal: AbortSignal,
  ): Promise<JobOutcome | undefined> {
    const open = this.open.get(job.id);
    if (!open) {
      return undefined;
    }
    const untoldEnd = this.untoldEnds.get(job.id);
    if (untoldEnd) {
      return this.answerCopy(job.id, untoldEnd);
    }
    if (!open.registration || !this.isOpenCurrent(open)) {
      open.firstAnswer = this.askOnce(open, 0);
      open.registration = this.completeAnswer(open, open.firstAnswer);
    }
    const firstAnswer = await open.firstAnswer;
    const registration =
      firstAnswer?.kind === 'held'
        ? await this.awaitRegistration(open.registration, job.leftMs, signal)
        : firstAnswer;
    switch (registration?.kind) {
      case 'ended':
        return this.answerCopy(job.id, registration.end);
      case 'held':
        return signal.aborted
          ? undefined
          : {kind: 'failed', reason: 'deadline'};
      case 'granted':
      case undefined:
        open.mayRun = true;
        return undefined;
      default:
        return registration satisfies never;
    }
  }

  /**
   * Whether the registration of a job still holds it. The registrar of a process that
   * was paused may have granted the job to another one meanwhile.
   *
   * @param jobId - The job, which `register` was called for.
   * @returns False if it has to be registered again before it is submitted.
   */
  isCurrent(jobId: JobId): boolean {
    const open = this.open.get(jobId);
    return !open || this.isOpenCurrent(open);
  }

  /** State instance that has registered a job of this instance, if one has. */
  registrarOfOwn(jobId: JobId): InstanceId | undefined {
    return this.open.get(jobId)?.grantedBy;
  }

  /**
   * Tells the registrar of a job that a scheduler of this instance has no runs left
   * of it, which a lost instance had submitted.
   */
  recordRunsEnd(jobId: JobId, submissionId: SubmissionId): void {
    const registrar = this.registrarOf(jobId);
    if (registrar) {
      const process = processOfSubmission(submissionId);
      const notice = {jobId, process};
      this.opts.network.notify(registrar, 'lostRunsEnded', notice);
    }
  }

  /** Names the jobs of a lost registrar to those that take its place. */
  recordLoss(instance: InstanceId): void {
    for (const open of this.open.values()) {
      if (open.grantedBy === instance) {
        open.grantedBy = undefined;
      }
    }
    this.nameJobs(open => open.registrars.delete(instance));
  }

  /**
   * Names the jobs to an instance whose link is new, if it is their registrar now.
   */
  async recordLink(instance: InstanceId): Promise<void> {
    await this.opts.clock.sleep(FIRST_HEARTBEAT_MS);
    this.nameJobs(({jobId}) => this.registrarOf(jobId) === instance);
  }

  private answerCopy(jobId: JobId, end: JobEnd): JobOutcome {
    this.answeredCopyCount++;
    this.opts.log.emit('copyAnswered', {jobId, end});
    return outcomeOfEnd(end);
  }

  private isOpenCurrent({askedMs, isAsking, registration}: OpenJob): boolean {
    const {clock, runsEndAfterLossMs} = this.opts;
    const maxAgeMs = CURRENT_SHARE * runsEndAfterLossMs;
    return (
      isAsking ||
      (registration !== undefined && clock.now() - askedMs < maxAgeMs)
    );
  }

  private join(job: ScheduledJob): OpenJob {
    const untilMs =
      this.opts.clock.now() + job.leftMs + this.opts.runsEndAfterLossMs;
    const present = this.open.get(job.id);
    if (present) {
      present.callers++;
      present.untilMs = Math.max(present.untilMs, untilMs);
      return present;
    }
    const registrationId =
      `${this.opts.process}/${this.count++}` as RegistrationId;
    const open: OpenJob = {
      jobId: job.id,
      registrationId,
      untilMs,
      callers: 1,
      registrars: new Set(),
      closed: new AbortController(),
      askedMs: -Infinity,
      isAsking: false,
      grantedBy: undefined,
      mayRun: false,
      end: undefined,
    };
    this.open.set(job.id, open);
    return open;
  }

  /**
   * Records that a request for a job has ended.
   *
   * @param isAwaited - Whether a caller may be back at once to have the job run.
   */
  private leave(open: OpenJob, isAwaited: boolean): void {
    if (--open.callers > 0) {
      return;
    }
    this.open.delete(open.jobId);
    open.closed.abort();
    void this.release(open, isAwaited);
  }

  private async release(open: OpenJob, isAwaited: boolean): Promise<void> {
    // A call in progress may still be granted.
    const registration = await open.registration;
    if (registration?.kind === 'ended' || open.registrars.size === 0) {
      return;
    }
    if (open.end) {
      this.untoldEnds.set(open.jobId, open.end);
    }
    this.releases.add([open]);
    if (isAwaited) {
      this.releases.flush();
    }
  }

  private sendReleases(jobs: readonly OpenJob[]): void {
    const byRegistrar = new Map<InstanceId, ReleasedJob[]>();
    for (const {end, jobId, registrationId, registrars} of jobs) {
      this.untoldEnds.delete(jobId);
      for (const registrar of registrars) {
        const released = byRegistrar.get(registrar) ?? [];
        released.push({jobId, registrationId, ...(end ? {end} : {})});
        byRegistrar.set(registrar, released);
      }
    }
    for (const [registrar, released] of byRegistrar) {
      const notice = {jobs: released};
      this.opts.network.notify(registrar, 'releasedJobs', notice);
    }
  }

  /** Waits for a registration for as long as the caller of its job waits. */
  private async awaitRegistration(
    registration: Promise<JobRegistration | undefined>,
    leftMs: number,
    signal: AbortSignal,
  ): Promise<JobRegistration | undefined> {
    const settled = new AbortController();
    const waitMs = Math.max(0, leftMs - ANSWER_MARGIN_MS);
    const timeout = this.opts.clock
      .sleep(waitMs, AbortSignal.any([signal, settled.signal]))
      .then((): JobRegistration => ({kind: 'held'}));
    try {
      return await Promise.race([registration, timeout]);
    } finally {
      settled.abort();
    }
  }

  /** Asks on if another process has the job, until it is free. */
  private async completeAnswer(
    open: OpenJob,
    firstAnswer: Promise<JobRegistration | undefined>,
  ): Promise<JobRegistration | undefined> {
    open.isAsking = true;
    try {
      const answer = await firstAnswer;
      if (answer?.kind === 'held') {
        this.opts.log.emit('copyHeld', {jobId: open.jobId});
        return await this.askUntilFree(open);
      }
      if (!answer) {
        this.unregisteredCount++;
      }
      return answer;
    } finally {
      open.isAsking = false;
    }
  }

  private async askUntilFree(open: OpenJob): Promise<JobRegistration> {
    while (!open.closed.signal.aborted) {
      const answer = await this.askOnce(open, MAX_CALL_WAIT_MS);
      if (answer && answer.kind !== 'held') {
        return answer;
      }
      if (!answer) {
        await this.opts.clock.sleep(ADOPTION_MS, open.closed.signal);
      }
    }
    return {kind: 'held'};
  }

  /** Asks the registrar of a job once; undefined if there is no answer. */
  private async askOnce(
    open: OpenJob,
    waitMs: number,
  ): Promise<JobRegistration | undefined> {
    const {clock, log, network} = this.opts;
    open.askedMs = clock.now();
    const registrar = this.registrarOf(open.jobId);
    if (registrar === undefined) {
      return undefined;
    }
    const req = {...this.registeredJob(open), waitMs};
    const opts = {timeoutMs: waitMs + ANSWER_TIMEOUT_MS};
    open.registrars.add(registrar);
    try {
      const res = await network.call(registrar, 'registerJob', req, opts);
      const isGranted = res.registration.kind === 'granted';
      open.grantedBy = isGranted ? registrar : undefined;
      open.mayRun ||= isGranted;
      return res.registration;
    } catch (err) {
      const untilMs = clock.now() + FAILURE_BACKOFF_MS;
      this.backoffUntilMs.set(registrar, untilMs);
      log.emit('jobNotRegistered', {
        jobId: open.jobId,
        registrar,
        err: (err as Error).message,
      });
      return undefined;
    }
  }

  private registeredJob({
    jobId,
    registrationId,
    untilMs,
  }: OpenJob): RegisteredJob {
    const {clock, runsEndAfterLossMs} = this.opts;
    const endsWithinMs = Math.max(0, untilMs - clock.now());
    return {jobId, registrationId, endsWithinMs, runsEndAfterLossMs};
  }

  /** Instance that all entry instances ask for a job, as long as they agree. */
  private registrarOf(jobId: JobId): InstanceId | undefined {
    const nowMs = this.opts.clock.now();
    const usable = this.opts
      .registrars()
      .filter(id => nowMs >= (this.backoffUntilMs.get(id) ?? -Infinity));
    return rendezvousOrder(jobId, usable)[0];
  }

  /** Names those of the running jobs to their registrars that are selected. */
  private nameJobs(isSelected: (open: OpenJob) => boolean): void {
    const byRegistrar = new Map<InstanceId, RegisteredJob[]>();
    for (const open of this.open.values()) {
      const registrar =
        isSelected(open) && open.mayRun
          ? this.registrarOf(open.jobId)
          : undefined;
      if (registrar !== undefined) {
        open.registrars.add(registrar);
        const jobs = byRegistrar.get(registrar) ?? [];
        jobs.push(this.registeredJob(open));
        byRegistrar.set(registrar, jobs);
      }
    }
    for (const [registrar, jobs] of byRegistrar) {
      this.opts.network.notify(registrar, 'registeredJobs', {jobs});
    }
  }
}

/** Whether a job was refused before it was of interest to anybody. */
function isRefusalAtOnce(outcome: JobOutcome): boolean {
  return outcome.kind === 'refused' && outcome.reason !== 'cancelled';
}
