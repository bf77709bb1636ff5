import type {Clock, JobId, TaskId} from '@papayarun/protocol';

/** Number of jobs from which completed tasks are dropped. */
const MIN_JOBS = 1_024;
/**
 * Shortest time for which the completed tasks of a job are kept, in milliseconds;
 * longer than a caller waits for an answer and until it sends the job again.
 */
const MEMORY_MS = 10_000;
/** Most jobs whose completed tasks are kept, however recent they are. */
const MAX_JOBS = 16_384;

/**
 * Tasks that a run has completed, so that they aren't run again if their job is
 * sent again. Those of the jobs that were added to least recently are dropped first.
 */
export class DoneTasks {
  /** In the order of the last task of each job. */
  private readonly byJob = new Map<
    JobId,
    {readonly tasks: Set<TaskId>; readonly atMs: number}
  >();

  private constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /**
   * Creates an empty record.
   *
   * @param clock - Monotonic clock.
   * @returns The record.
   * @example
   * const doneTasks = DoneTasks.create(clock);
   */
  static create(clock: Pick<Clock, 'now'>): DoneTasks {
    return new DoneTasks(clock);
  }

  /** Records that a run has completed a task. */
  add(jobId: JobId, taskId: TaskId): void {
    const nowMs = this.clock.now();
    const tasks = this.byJob.get(jobId)?.tasks ?? new Set<TaskId>();
    this.byJob.delete(jobId);
    this.byJob.set(jobId, {tasks: tasks.add(taskId), atMs: nowMs});
    for (const [id, {atMs}] of this.byJob) {
      const {size} = this.byJob;
      const isOld = nowMs - atMs >= MEMORY_MS;
      if (size <= MIN_JOBS || (!isOld && size <= MAX_JOBS)) {
        break;
      }
      this.byJob.delete(id);
    }
  }

  /** Whether a run is known to have completed a task. */
  has(jobId: JobId, taskId: TaskId): boolean {
    return this.byJob.get(jobId)?.tasks.has(taskId) ?? false;
  }
}
