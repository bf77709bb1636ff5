import type {
  DataCentreId,
  InFlightJob,
  InstanceId,
  JobId,
  ScheduledJob,
  SubmissionId,
} from '@papayarun/protocol';
import {checkDuration} from './check_duration.js';
import {checkInFlightJobs} from './check_in_flight_jobs.js';
import {HeldJobs} from './held_jobs.js';
import {InFlightNotices} from './in_flight_notices.js';
import {InFlightTable} from './in_flight_table.js';
import type {InFlightKeeper} from './in_flight_keeper.js';
import type {InterruptedJobsOptions} from './interrupted_jobs_options.js';
import {InterruptionSender} from './interruption_sender.js';
import {selectBackups} from './select_backups.js';
import {submissionIdOf} from './submission_id_of.js';

/** Interval of the notices to other entry instances, in milliseconds. */
const IN_FLIGHT_INTERVAL_MS = 5;
/** State instances that pass interruptions on; one of them may be cut off. */
const RELAYS = 2;
/**
 * Time before the deadline at which a job that is still held is answered, in
 * milliseconds.
 */
const ANSWER_MARGIN_MS = 20;
/** Range of the number of a process, by which restarts differ. */
const MAX_PROCESS = 2 ** 31;

/**
 * Jobs whose callers have lost their connection, or the instance that served
 * them, while runs may go on.
 *
 * @description A caller may send such a job again at once, to an instance that
 * knows nothing of its runs. Each entry instance names its jobs in flight to
 * backups: an entry instance, and two state instances or another entry instance.
 * When it is lost, they tell the other entry instances; when only the connection
 * of a caller is, it does so itself. Those hold the job until its runs
 * have ended. What is sent beyond the names of the jobs grows with the
 * interruptions, not with the jobs, and its rate is bounded.
 */
export class InterruptedJobs {
  private readonly held: HeldJobs;
  /** Jobs in flight at other instances, for which this one is a backup. */
  private readonly inFlight: InFlightTable;
  /** Submissions of this instance whose runs may go on. */
  private readonly own = new Map<SubmissionId, OwnSubmission>();
  /** To other entry instances, and to state instances. */
  private readonly inFlightNotices: readonly InFlightNotices[];
  private readonly interruptions: InterruptionSender;
  /** Number of this process, by which its submissions differ from earlier ones. */
  private readonly process: number;
  private submissionCount = 0;

  private constructor(private readonly opts: InterruptedJobsOptions) {
    const {clock, network, random} = opts;
    this.held = HeldJobs.create(clock);
    this.inFlight = InFlightTable.create(clock);
    this.process = Math.floor(random.next() * MAX_PROCESS);
    this.inFlightNotices = [
      this.createInFlightNotices(
        () => this.entryBackups(),
        () => true,
        () => IN_FLIGHT_INTERVAL_MS,
      ),
      this.createInFlightNotices(
        () => this.keepers(),
        (keeper, jobId) => this.isToldOf(keeper, jobId),
        () => this.keeperIntervalMs(),
      ),
    ];
    this.interruptions = InterruptionSender.create(
      clock,
      () => [
        ...opts.entries().keys(),
        ...opts.stateInstances().slice(0, RELAYS),
      ],
      (peer, notice) => network.notify(peer, 'interruptedJobs', notice),
    );
    network.onNotice('jobsInFlight', (from, {jobs}) =>
      this.inFlight.add(from, checkInFlightJobs(jobs)),
    );
    network.onNotice('interruptedJobs', (_from, {jobs, othersForMs}) =>
      this.hold(checkInFlightJobs(jobs), checkDuration(othersForMs) ?? 0),
    );
  }

  /**
   * Creates the record and serves the notices of other instances.
   *
   * @param opts - Identity, network and linked instances.
   * @returns The record, empty.
   * @example
   * const interrupted = InterruptedJobs.create(opts);
   */
  static create(opts: InterruptedJobsOptions): InterruptedJobs {
    return new InterruptedJobs(opts);
  }

  /** Name of this process, as its submissions have it. */
  get processName(): string {
    return `${this.opts.self}/${this.process}`;
  }

  /** Number of interrupted submissions that are not known to have ended. */
  get heldSubmissions(): number {
    return this.held.size;
  }

  /**
   * Time for which all jobs are held, in milliseconds; 0 if only those are whose
   * interruption is known.
   */
  get allHeldMs(): number {
    return this.held.allForMs;
  }

  /** Number of submissions whose end is told to the backups, for each of these. */
  get namedSubmissions(): number {
    return this.inFlightNotices.reduce((sum, {size}) => sum + size, 0);
  }

  /** Whether runs of an interrupted submission of a job may go on. */
  mayRun(jobId: JobId): boolean {
    return this.held.has(jobId);
  }

  /**
   * Time for which runs of a job may go on that a scheduler doesn't know of. While
   * all jobs are held, these may be runs of a submission that nobody could name.
   *
   * @param jobId - The job.
   * @param isKnown - Whether it knows the runs of a submission.
   * @returns Time in milliseconds; 0 for none.
   */
  otherRunsForMs(
    jobId: JobId,
    isKnown: (submissionId: SubmissionId) => boolean,
  ): number {
    return Math.max(this.held.allForMs, this.held.forMs(jobId, isKnown));
  }

  /**
   * Waits until no run of an interrupted submission of a job goes on, for at most
   * as long as its caller waits for the answer.
   *
   * @param job - The job, as its caller has sent it.
   * @param signal - Aborts when the caller disconnects.
   * @returns Resolves at once if there is none.
   */
  async waitUntilEnded(
    {id, leftMs}: ScheduledJob,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, log} = this.opts;
    const startedMs = clock.now();
    const latestMs = startedMs + leftMs - ANSWER_MARGIN_MS;
    await this.held.waitUntilEnded(id, latestMs, signal);
    log.emit('jobHeld', {
      jobId: id,
      waitedMs: Math.round(clock.now() - startedMs),
      mayRun: this.mayRun(id),
    });
  }

  /**
   * Records a submission of a job to a scheduler.
   *
   * @param job - The job, or a part of it.
   * @returns Name of the submission.
   */
  recordSubmission({id, leftMs}: ScheduledJob): SubmissionId {
    const {clock, runsEndAfterMs, self} = this.opts;
    const submissionId = submissionIdOf(
      self,
      this.process,
      this.submissionCount++,
    );
    const untilMs = clock.now() + leftMs + runsEndAfterMs;
    this.own.set(submissionId, {
      jobId: id,
      untilMs,
      isInterrupted: false,
    });
    this.inFlightNotices.forEach(notices => notices.add(submissionId));
    return submissionId;
  }

  /**
   * Records that a scheduler of this instance is about to start runs of a
   * submission. The backups are told first, since this process may be killed
   * behind the first order.
   */
  recordAdmission(): void {
    this.inFlightNotices.forEach(notices => notices.flush());
  }

  /**
   * Records that the instance is lost that waits for a submission, which a
   * scheduler of this one has runs of.
   */
  recordLostRequester(jobId: JobId, submissionId: SubmissionId): void {
    this.tellEntries([{jobId, submissionId, forMs: this.opts.runsEndAfterMs}]);
  }

  /** Records that nobody waits for a submission any more. */
  recordInterruption(jobId: JobId, submissionId: SubmissionId): void {
    const submission = this.own.get(submissionId);
    if (submission) {
      submission.isInterrupted = true;
    }
    const forMs = this.opts.runsEndAfterMs;
    this.tellEntries([{jobId, submissionId, forMs}]);
  }

  /** Records that a submission has ended, and its runs go on for a while. */
  recordLeftRuns(jobId: JobId, submissionId: SubmissionId): void {
    this.recordInterruption(jobId, submissionId);
    this.own.delete(submissionId);
    this.inFlightNotices.forEach(notices =>
      notices.recordLeftRuns(submissionId),
    );
  }

  /**
   * Records that the runs of a submission have ended, of this instance or of one
   * that was lost.
   */
  recordEnd(jobId: JobId, submissionId: SubmissionId): void {
    const ended = {jobId, submissionId, forMs: 0};
    const submission = this.own.get(submissionId);
    this.own.delete(submissionId);
    if (!submission || submission.isInterrupted) {
      this.tellEntries([ended]);
    }
    this.inFlightNotices.forEach(notices =>
      notices.recordEnd(jobId, submissionId),
    );
  }

  /**
   * Records that an instance is lost, with the connections of its callers, or
   * that the link to it is.
   *
   * @param instance - The instance.
   */
  recordLoss(instance: InstanceId): void {
    const forMs = this.opts.runsEndAfterMs;
    const othersForMs = Math.min(this.inFlight.droppedForMs(instance), forMs);
    const jobs = this.inFlight.take(instance).map(job => ({...job, forMs}));
    if (jobs.length > 0 || othersForMs > 0) {
      const fields = {peer: instance, jobs: jobs.length};
      this.opts.log.emit('jobsInterrupted', fields);
      this.tellEntries(jobs, othersForMs);
    }
    this.inFlightNotices.forEach(notices => notices.recordLoss(instance));
  }

  /** Records that the link to an instance is new. */
  recordLink(instance: InstanceId): void {
    this.inFlightNotices.forEach(notices => void notices.recordLink(instance));
  }

  private createInFlightNotices(
    backups: () => readonly InstanceId[],
    isToldOf: (backup: InstanceId, jobId: JobId) => boolean,
    intervalMs: () => number,
  ): InFlightNotices {
    const {clock, runsEndAfterMs, network} = this.opts;
    return InFlightNotices.create({
      clock,
      network,
      backups,
      isToldOf,
      intervalMs,
      runsEndAfterMs,
      submissions: () => this.own.keys(),
      inFlight: ids => this.inFlightJobs(ids),
    });
  }

  /**
   * State instances that are told. Any number of entry instances may be lost at
   * once, but of these only few.
   */
  private keepers(): InstanceId[] {
    const {dataCentre, inFlightKeepers, self} = this.opts;
    return selectBackups(self, dataCentre, dataCentresOf(inFlightKeepers()));
  }

  /**
   * Whether a state instance is told of a job. Its registrar knows it already, so one
   * more is told, of another data centre.
   */
  private isToldOf(keeper: InstanceId, jobId: JobId): boolean {
    const registrar = this.opts.registrarOf?.(jobId);
    const keepers = this.opts.inFlightKeepers();
    const place = registrar && keepers.get(registrar)?.dataCentre;
    if (place === undefined) {
      return true;
    }
    const elsewhere = this.keepers().find(
      id => keepers.get(id)!.dataCentre !== place,
    );
    return elsewhere === undefined
      ? keeper !== registrar
      : keeper === elsewhere;
  }

  /** Shortest interval that all of those take, in milliseconds. */
  private keeperIntervalMs(): number {
    const keepers = this.opts.inFlightKeepers();
    return Math.max(
      IN_FLIGHT_INTERVAL_MS,
      ...this.keepers().map(id => keepers.get(id)!.intervalMs),
    );
  }

  /**
   * Entry instances that are told: only one beside state instances of two data
   * centres.
   */
  private entryBackups(): InstanceId[] {
    const {dataCentre, entries, inFlightKeepers, self} = this.opts;
    const keepers = inFlightKeepers();
    const places = this.keepers().map(id => keepers.get(id)!.dataCentre);
    const backups = selectBackups(self, dataCentre, entries());
    return new Set(places).size > 1 ? backups.slice(0, 1) : backups;
  }

  /** Those of some submissions whose runs may go on. */
  private inFlightJobs(ids: Iterable<SubmissionId>): InFlightJob[] {
    const nowMs = this.opts.clock.now();
    const jobs: InFlightJob[] = [];
    for (const submissionId of ids) {
      const submission = this.own.get(submissionId);
      if (submission) {
        const {jobId, untilMs} = submission;
        jobs.push({jobId, submissionId, forMs: Math.max(0, untilMs - nowMs)});
      }
    }
    return jobs;
  }

  /** Tells the linked entry instances, and state instances for the others. */
  private tellEntries(jobs: readonly InFlightJob[], othersForMs = 0): void {
    this.hold(jobs, othersForMs);
    this.interruptions.add(jobs);
    if (othersForMs > 0) {
      this.interruptions.addOthers(othersForMs);
    }
  }

  /** Holds jobs, for no longer than their runs go on after a loss. */
  private hold(jobs: readonly InFlightJob[], othersForMs: number): void {
    const maxMs = this.opts.runsEndAfterMs;
    const areAllHeld = this.held.allForMs > 0;
    for (const job of jobs) {
      this.held.record({...job, forMs: Math.min(job.forMs, maxMs)});
      const own = this.own.get(job.submissionId);
      if (own) {
        // Only a link was lost; the others learn of its end from this instance.
        own.isInterrupted = true;
      }
    }
    this.held.recordOthers(Math.min(othersForMs, maxMs));
    const {allForMs} = this.held;
    if (!areAllHeld && allForMs > 0) {
      this.opts.log.emit('allJobsHeld', {forMs: Math.round(allForMs)});
    }
  }
}

/** Submission of this instance to a scheduler. */
interface OwnSubmission {
  readonly jobId: JobId;
  /** Monotonic time by which its runs have ended, in milliseconds. */
  readonly untilMs: number;
  /** Whether the other entry instances may hold its job. */
  isInterrupted: boolean;
}

function dataCentresOf(
  keepers: ReadonlyMap<InstanceId, InFlightKeeper>,
): Map<InstanceId, DataCentreId> {
  return new Map([...keepers].map(([id, {dataCentre}]) => [id, dataCentre]));
}
