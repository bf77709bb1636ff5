import type {
  Clock,
  InFlightJob,
  InstanceId,
  SubmissionId,
} from '@papayarun/protocol';

/** Most jobs kept of one instance; the oldest are dropped first. */
const MAX_JOBS = 4_096;

interface Row {
  readonly job: InFlightJob;
  /** Monotonic time at which the job has ended, in milliseconds. */
  readonly untilMs: number;
}

/**
 * Jobs in flight at other instances, as they have named them.
 */
export class InFlightTable {
  private readonly rows = new Map<InstanceId, Map<SubmissionId, Row>>();
  /** Monotonic time by which the jobs have ended that were dropped, in ms. */
  private readonly droppedUntilMs = new Map<InstanceId, number>();

  private constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /**
   * Creates an empty table.
   *
   * @param clock - Monotonic clock.
   * @returns The table.
   * @example
   * const table = InFlightTable.create(clock);
   */
  static create(clock: Pick<Clock, 'now'>): InFlightTable {
    return new InFlightTable(clock);
  }

  /** Number of instances that have named jobs and are not lost. */
  get instances(): number {
    return this.rows.size;
  }

  /** Records jobs that an instance has submitted, and ends of such jobs. */
  add(instance: InstanceId, jobs: readonly InFlightJob[]): void {
    const rows = this.rows.get(instance) ?? new Map<SubmissionId, Row>();
    this.rows.set(instance, rows);
    const nowMs = this.clock.now();
    for (const job of jobs) {
      if (job.forMs > 0) {
        rows.set(job.submissionId, {job, untilMs: nowMs + job.forMs});
      } else {
        rows.delete(job.submissionId);
      }
    }
    for (const [id, {untilMs}] of rows) {
      if (untilMs > nowMs && rows.size <= MAX_JOBS) {
        break;
      }
      rows.delete(id);
      if (untilMs > nowMs) {
        const knownMs = this.droppedUntilMs.get(instance) ?? -Infinity;
        this.droppedUntilMs.set(instance, Math.max(knownMs, untilMs));
      }
    }
  }

  /**
   * Time for which jobs of an instance may be in flight that were dropped, in
   * milliseconds; 0 for none.
   */
  droppedForMs(instance: InstanceId): number {
    const untilMs = this.droppedUntilMs.get(instance) ?? -Infinity;
    return Math.max(0, untilMs - this.clock.now());
  }

  /** Removes the jobs of an instance and returns those that may be in flight. */
  take(instance: InstanceId): InFlightJob[] {
    const rows = this.rows.get(instance);
    this.rows.delete(instance);
    this.droppedUntilMs.delete(instance);
    const nowMs = this.clock.now();
    return [...(rows?.values() ?? [])]
      .filter(({untilMs}) => untilMs > nowMs)
      .map(({job}) => job);
  }
}
