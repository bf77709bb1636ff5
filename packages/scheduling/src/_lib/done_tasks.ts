import type {JobId, TaskId} from '@papayarun/protocol';

/** Most jobs whose completed tasks are kept. */
const MAX_JOBS = 1_024;

/**
 * Tasks that a run has completed, so that they aren't run again if their job is
 * sent again. Those of the jobs that were added first are dropped first.
 */
export class DoneTasks {
  private readonly byJob = new Map<JobId, Set<TaskId>>();

  private constructor() {}

  /**
   * Creates an empty record.
   *
   * @returns The record.
   * @example
   * const doneTasks = DoneTasks.create();
   */
  static create(): DoneTasks {
    return new DoneTasks();
  }

  /** Records that a run has completed a task. */
  add(jobId: JobId, taskId: TaskId): void {
    const tasks = this.byJob.get(jobId);
    if (tasks) {
      tasks.add(taskId);
      return;
    }
    this.byJob.set(jobId, new Set([taskId]));
    if (this.byJob.size > MAX_JOBS) {
      this.byJob.delete(this.byJob.keys().next().value!);
    }
  }

  /** Whether a run is known to have completed a task. */
  has(jobId: JobId, taskId: TaskId): boolean {
    return this.byJob.get(jobId)?.has(taskId) ?? false;
  }
}
