import type {
  Clock,
  InFlightJob,
  JobId,
  SubmissionId,
} from '@papayarun/protocol';

/** Most submissions kept; the oldest are dropped first. */
const MAX_SUBMISSIONS = 16_384;
/**
 * Time for which an end is kept that is known before the interruption, in
 * milliseconds; longer than notices are on their way.
 */
const END_KEPT_MS = 5_000;

interface Submission {
  readonly jobId: JobId;
  /** Monotonic time by which its runs have ended, in milliseconds. */
  untilMs: number;
  hasEnded: boolean;
}

/**
 * Jobs that may not be submitted again yet, since runs of an interrupted
 * submission may go on.
 */
export class HeldJobs {
  /** In the order in which they became known, which is about that of their ends. */
  private readonly submissions = new Map<SubmissionId, Submission>();
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
    for (const {hasEnded, untilMs} of this.submissions.values()) {
      size += Number(!hasEnded && untilMs > nowMs);
    }
    return size;
  }

  /**
   * Records what is known of an interrupted submission. Notices arrive more than
   * once and by several ways; an end is final.
   */
  record({jobId, submissionId, forMs}: InFlightJob): void {
    this.forgetOld();
    const nowMs = this.clock.now();
    const known = this.submissions.get(submissionId);
    if (forMs === 0) {
      if (known) {
        this.end(known);
      } else {
        const untilMs = nowMs + END_KEPT_MS;
        this.submissions.set(submissionId, {jobId, untilMs, hasEnded: true});
      }
    } else if (known) {
      known.untilMs = Math.max(known.untilMs, nowMs + forMs);
    } else {
      const submission = {jobId, untilMs: nowMs + forMs, hasEnded: false};
      this.submissions.set(submissionId, submission);
      const others = this.byJob.get(jobId) ?? new Set<Submission>();
      this.byJob.set(jobId, others.add(submission));
    }
  }

  /** Interrupted submissions whose runs may go on, and for how long. */
  interrupted(): InFlightJob[] {
    const nowMs = this.clock.now();
    return [...this.submissions]
      .filter(([, {hasEnded, untilMs}]) => !hasEnded && untilMs > nowMs)
      .map(([submissionId, {jobId, untilMs}]) => ({
        jobId,
        submissionId,
        forMs: untilMs - nowMs,
      }));
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
      const ended = this.ends.get(jobId) ?? new AbortController();
      this.ends.set(jobId, ended);
      await this.clock.sleep(leftMs, AbortSignal.any([ended.signal, signal]));
    }
  }

  /** Time for which runs of a job may go on, in milliseconds; 0 for none. */
  private leftMs(jobId: JobId): number {
    let leftMs = 0;
    for (const {untilMs} of this.byJob.get(jobId) ?? []) {
      leftMs = Math.max(leftMs, untilMs - this.clock.now());
    }
    return leftMs;
  }

  private forgetOld(): void {
    const nowMs = this.clock.now();
    for (const [id, submission] of this.submissions) {
      if (
        submission.untilMs > nowMs &&
        this.submissions.size < MAX_SUBMISSIONS
      ) {
        return;
      }
      this.submissions.delete(id);
      this.end(submission);
    }
  }

  private end(submission: Submission): void {
    if (submission.hasEnded) {
      return;
    }
    submission.hasEnded = true;
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
