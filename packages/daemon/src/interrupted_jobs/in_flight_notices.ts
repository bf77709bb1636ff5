import type {InFlightJob, InstanceId, SubmissionId} from '@papayarun/protocol';
import type {InFlightNoticesOptions} from './in_flight_notices_options.js';
import {NoticeBatcher} from './notice_batcher.js';

/**
 * Delay before the backups are told of a job, in milliseconds. A job that is
 * refused at once isn't told.
 */
const DELAY_MS = 1;
const BURST = 10;
/**
 * Time after which an instance with a new link counts as alive, in milliseconds: some
 * round trips, since each sends a heartbeat at once.
 */
const FIRST_HEARTBEAT_MS = 20;
/** Most ends that are kept for the next notice; the oldest are dropped. */
const MAX_ENDS = 1_024;

/**
 * Names the jobs in flight of this instance to backups, each submission in one
 * notice and its end in a later one.
 */
export class InFlightNotices {
  private readonly batcher: NoticeBatcher<SubmissionId>;
  /** Backups that may know of a submission. */
  private readonly told = new Map<SubmissionId, Set<InstanceId>>();
  /** Ends of such submissions, for the next notice to each backup. */
  private readonly ends = new Map<InstanceId, InFlightJob[]>();
  /** Backups that know of all submissions named so far. */
  private toldBackups: ReadonlySet<InstanceId> = new Set();

  private constructor(private readonly opts: InFlightNoticesOptions) {
    this.batcher = NoticeBatcher.create(opts.clock, {
      delayMs: DELAY_MS,
      intervalMs: opts.intervalMs,
      burst: BURST,
      maxItems: Infinity,
      send: ids => this.send(ids),
    });
  }

  /**
   * Creates the notices.
   *
   * @param opts - Clock, network, backups and submissions.
   * @returns The notices; none is sent yet.
   * @example
   * const notices = InFlightNotices.create(opts);
   */
  static create(opts: InFlightNoticesOptions): InFlightNotices {
    return new InFlightNotices(opts);
  }

  /** Names a submission in the next notice, unless it has ended by then. */
  add(submissionId: SubmissionId): void {
    this.batcher.add([submissionId]);
  }

  /** Names the submissions of the next notice now, if the rate allows it. */
  flush(): void {
    this.batcher.flush();
  }

  /** Number of submissions that a backup may know of. */
  get size(): number {
    return this.told.size;
  }

  /** Forgets a submission that has ended, and whose runs go on for a while. */
  recordLeftRuns(submissionId: SubmissionId): void {
    this.told.delete(submissionId);
  }

  /** Names the end of a submission in the next notice. */
  recordEnd(jobId: InFlightJob['jobId'], submissionId: SubmissionId): void {
    const ended = {jobId, submissionId, forMs: 0};
    for (const backup of this.told.get(submissionId) ?? []) {
      const ends = [...(this.ends.get(backup) ?? []), ended];
      this.ends.set(backup, ends.slice(-MAX_ENDS));
    }
    this.told.delete(submissionId);
  }

  /**
   * Names all submissions to an instance whose link is new, if it is a backup. The
   * next submission, by which it would learn of them, may be long in coming.
   */
  async recordLink(instance: InstanceId): Promise<void> {
    const {backups, clock, submissions} = this.opts;
    await clock.sleep(FIRST_HEARTBEAT_MS);
    if (!this.toldBackups.has(instance) && backups().includes(instance)) {
      this.batcher.add(submissions());
    }
  }

  /** Names all submissions again, if an instance was a backup. */
  recordLoss(instance: InstanceId): void {
    if (this.toldBackups.has(instance)) {
      this.toldBackups = new Set();
      this.batcher.add(this.opts.submissions());
    }
  }

  /** Names submissions to the backups, and all of them to a new backup. */
  private send(ids: readonly SubmissionId[]): void {
    const {inFlight, network, runsEndAfterMs, submissions} = this.opts;
    const started = inFlight(new Set(ids));
    if (started.length === 0) {
      return;
    }
    const backups = this.opts.backups();
    for (const backup of backups) {
      const isTold = this.toldBackups.has(backup);
      const named = this.tell(
        backup,
        isTold ? started : inFlight(submissions()),
      );
      if (named.length > 0) {
        const jobs = [
          ...named,
          ...(isTold ? (this.ends.get(backup) ?? []) : []),
        ];
        network.notify(backup, 'jobsInFlight', {jobs, runsEndAfterMs});
        this.ends.delete(backup);
      }
    }
    this.toldBackups = new Set(backups);
  }

  /** Those of some jobs that a backup is told of. */
  private tell(
    backup: InstanceId,
    jobs: readonly InFlightJob[],
  ): InFlightJob[] {
    const named = jobs.filter(({jobId}) => this.opts.isToldOf(backup, jobId));
    for (const {submissionId} of named) {
      const backups = this.told.get(submissionId) ?? new Set<InstanceId>();
      this.told.set(submissionId, backups.add(backup));
    }
    return named;
  }
}
