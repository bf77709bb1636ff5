import type {
  Clock,
  InFlightJob,
  JobId,
  SubmissionId,
} from '@papayarun/protocol';

/**
 * Most submissions kept; the oldest are dropped first, and all jobs are held until
 * their runs have ended.
 */
const MAX_SUBMISSIONS = 16_384;
/** Most ends kept. One that is dropped can only make a job wait longer. */
const MAX_ENDS = 16_384;
/**
 * Time for which an end is kept, in milliseconds; longer than notices of the
 * interruption are on their way.
 */
const END_KEPT_MS = 5_000;

interface Submission {
  readonly jobId: JobId;
  readonly submissionId: SubmissionId;
  /** Monotonic time by which its runs have ended, in milliseconds. */
  untilMs: number;
}

/**
 * Jobs that may not be submitted again yet, since runs of an interrupted
 * submission may go on.
 */
export class HeldJobs {
  /** In the order of the last notice of each, which is about that of their ends. */
  private readonly submissions = new Map<SubmissionId, Submission>();
  /** Monotonic time until which ends are kept, in milliseconds. */
  private readonly ended = new Map<SubmissionId, number>();
  /** Monotonic time until which all jobs are held, in milliseconds. */
  private allUntilMs = -Infinity;
  private readonly byJob = new Map<JobId, Set<Submission>>();
  /** Aborted when a submission of the job has ended. */
  private readonly ends = new Map<JobId, AbortController>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates the record of no jobs.
   *
   * @param clock - Monotonic clock.
   * @returns The record.
   * @example
   * const held = HeldJobs.create(clock);
   */
  static create(clock: Clock): HeldJobs {
    return new HeldJobs(clock);
  }

  /** Number of submissions whose runs may go on. */
  get size(): number {
    const nowMs = this.clock.now();
    let size = 0;
    for (const {untilMs} of this.submissions.values()) {
      size += Number(untilMs > nowMs);
    }
    return size;
  }

  /** Number of jobs whose wait the end of a submission may shorten. */
  get awaitedJobs(): number {
    return this.ends.size;
  }

  /** Time for which all jobs are held, in milliseconds; 0 if they aren't. */
  get allForMs(): number {
    return Math.max(0, this.allUntilMs - this.clock.now());
  }

  /**
   * Records what is known of an interrupted submission. Notices arrive more than
   * once and by several ways; an end is final.
   */
  record({jobId, submissionId, forMs}: InFlightJob): void {
    this.forgetOld();
    const nowMs = this.clock.now();
    if (forMs === 0) {
      this.end(submissionId);
      this.ended.delete(submissionId);
      this.ended.set(submissionId, nowMs + END_KEPT_MS);
    } else if (!this.ended.has(submissionId)) {
      const known = this.submissions.get(submissionId);
      const submission = known ?? {jobId, submissionId, untilMs: 0};
      submission.untilMs = Math.max(submission.untilMs, nowMs + forMs);
      this.submissions.delete(submissionId);
      this.submissions.set(submissionId, submission);
      const others = this.byJob.get(jobId) ?? new Set<Submission>();
      this.byJob.set(jobId, others.add(submission));
    }
  }

  /**
   * Records that runs of jobs that are not known may go on.
   *
   * @param forMs - Time for which they may, in milliseconds.
   */
  recordOthers(forMs: number): void {
    this.allUntilMs = Math.max(this.allUntilMs, this.clock.now() + forMs);
  }

  /** Interrupted submissions whose runs may go on, and for how long. */
  interrupted(): InFlightJob[] {
    const nowMs = this.clock.now();
    return [...this.submissions]
      .filter(([, {untilMs}]) => untilMs > nowMs)
      .map(([submissionId, {jobId, untilMs}]) => ({
        jobId,
        submissionId,
        forMs: untilMs - nowMs,
      }));
  }

  /**
   * Time for which runs of interrupted submissions of a job may go on.
   *
   * @param jobId - The job.
   * @param isKnown - Whether a submission doesn't count, since more is known of it.
   * @returns Time in milliseconds; 0 for none.
   */
  forMs(
    jobId: JobId,
    isKnown: (submissionId: SubmissionId) => boolean = () => false,
  ): number {
    let forMs = 0;
    for (const {submissionId, untilMs} of this.byJob.get(jobId) ?? []) {
      if (!isKnown(submissionId)) {
        forMs = Math.max(forMs, untilMs - this.clock.now());
      }
    }
    return forMs;
  }

  /** Whether runs of an interrupted submission of a job may go on. */
  has(jobId: JobId): boolean {
    return this.leftMs(jobId) > 0;
  }

  /**
   * Waits until no run of a job can go on.
   *
   * @param jobId - The job.
   * @param latestMs - Monotonic time at which the wait ends, in milliseconds.
   * @param signal - Ends the wait.
   * @returns Resolves at once if no submission of the job was interrupted.
   */
  async waitUntilEnded(
    jobId: JobId,
    latestMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && this.has(jobId)) {
      const leftMs = Math.min(this.leftMs(jobId), latestMs - this.clock.now());
      if (leftMs <= 0) {
        return;
      }
      const ended = this.endOf(jobId);
      const signals = ended ? [ended, signal] : [signal];
      await this.clock.sleep(leftMs, AbortSignal.any(signals));
    }
  }

  /** Aborts when a submission of a job has ended, if one is known. */
  private endOf(jobId: JobId): AbortSignal | undefined {
    if (!this.byJob.has(jobId)) {
      return undefined;
    }
    const ended = this.ends.get(jobId) ?? new AbortController();
    this.ends.set(jobId, ended);
    return ended.signal;
  }

  /** Time for which runs of a job may go on, in milliseconds; 0 for none. */
  private leftMs(jobId: JobId): number {
    return Math.max(this.allForMs, this.forMs(jobId));
  }

  private forgetOld(): void {
    const nowMs = this.clock.now();
    for (const [id, {untilMs}] of this.submissions) {
      if (untilMs > nowMs && this.submissions.size < MAX_SUBMISSIONS) {
        break;
      }
      this.allUntilMs = Math.max(this.allUntilMs, untilMs);
      this.end(id);
    }
    for (const [id, untilMs] of this.ended) {
      if (untilMs > nowMs && this.ended.size < MAX_ENDS) {
        break;
      }
      this.ended.delete(id);
    }
  }

  private end(submissionId: SubmissionId): void {
    const submission = this.submissions.get(submissionId);
    if (!submission) {
      return;
    }
    this.submissions.delete(submissionId);
    const {jobId} = submission;
    const others = this.byJob.get(jobId);
    others?.delete(submission);
    if (others?.size === 0) {
      this.byJob.delete(jobId);
    }
    this.ends.get(jobId)?.abort();
    this.ends.delete(jobId);
  }
}
