import type {CancelledJob, Clock, JobId} from '@papayarun/protocol';

/** Most jobs remembered; no more are accepted then. */
const MAX_JOBS = 32_768;
/** Longest time for which a job is remembered, in milliseconds. */
const MAX_KEPT_MS = 120_000;

/**
 * Jobs that were cancelled and must not start any more, in bounded memory.
 *
 * @description A full table accepts no further job: one that is dropped early
 * would start again when a copy of it arrives.
 */
export class CancelledJobTable {
  /** Monotonic time until which each job is kept, in milliseconds. */
  private readonly keptUntilMs = new Map<JobId, number>();

  private constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly maxJobs: number,
  ) {}

  /**
   * Creates an empty table.
   *
   * @param clock - Monotonic clock.
   * @param maxJobs - Most jobs remembered.
   * @returns The table.
   * @example
   * const table = CancelledJobTable.create(clock);
   */
  static create(
    clock: Pick<Clock, 'now'>,
    maxJobs = MAX_JOBS,
  ): CancelledJobTable {
    return new CancelledJobTable(clock, maxJobs);
  }

  /** Number of jobs that are remembered. */
  get size(): number {
    return this.keptUntilMs.size;
  }

  /** Whether a job was cancelled. */
  has(jobId: JobId): boolean {
    return (this.keptUntilMs.get(jobId) ?? -Infinity) > this.clock.now();
  }

  /**
   * Records cancelled jobs.
   *
   * @param jobs - The jobs.
   * @returns Those that were not recorded before, or undefined if there is no room
   *   for all of them; then none is recorded.
   */
  add(jobs: readonly CancelledJob[]): JobId[] | undefined {
    this.removeExpired();
    const added = new Set<JobId>();
    for (const {jobId} of jobs) {
      if (!this.has(jobId)) {
        added.add(jobId);
      }
    }
    if (this.size + added.size > this.maxJobs) {
      return undefined;
    }
    const nowMs = this.clock.now();
    for (const {jobId, forMs} of jobs) {
      const untilMs = nowMs + Math.min(forMs, MAX_KEPT_MS);
      const knownMs = this.keptUntilMs.get(jobId) ?? -Infinity;
      if (untilMs > knownMs) {
        this.keptUntilMs.delete(jobId);
        this.keptUntilMs.set(jobId, untilMs);
      }
    }
    return [...added];
  }

  /** All jobs, each with the time for which it is still remembered. */
  list(): CancelledJob[] {
    this.removeExpired();
    const nowMs = this.clock.now();
    return [...this.keptUntilMs]
      .map(([jobId, untilMs]) => ({jobId, forMs: untilMs - nowMs}))
      .filter(({forMs}) => forMs > 0);
  }

  /** Removes expired jobs; the order is about that of their ends. */
  private removeExpired(): void {
    const nowMs = this.clock.now();
    for (const [jobId, untilMs] of this.keptUntilMs) {
      if (untilMs > nowMs) {
        return;
      }
      this.keptUntilMs.delete(jobId);
    }
  }
}
