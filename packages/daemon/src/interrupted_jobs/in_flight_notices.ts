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
  /** Submissions that a backup may know of. */
  private readonly told = new Set<SubmissionId>();
  /** Ends of such submissions, for the next notice. */
  private ends: InFlightJob[] = [];
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
    if (this.told.delete(submissionId)) {
      this.ends.push({jobId, submissionId, forMs: 0});
      this.ends = this.ends.slice(-MAX_ENDS);
    }
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
    const started = this.tell(inFlight(new Set(ids)));
    if (started.length === 0) {
      return;
    }
    const backups = this.opts.backups();
    for (const backup of backups) {
      const jobs = this.toldBackups.has(backup)
        ? [...started, ...this.ends]
        : this.tell(inFlight(submissions()));
      network.notify(backup, 'jobsInFlight', {jobs, runsEndAfterMs});
    }
    this.toldBackups = new Set(backups);
    this.ends = [];
  }

  private tell(jobs: InFlightJob[]): InFlightJob[] {
    jobs.forEach(({submissionId}) => this.told.add(submissionId));
    return jobs;
  }
}
