import type {TaskId} from '@papayarun/protocol';

/** Shortest time for which the losses of a task are remembered, in milliseconds. */
const MEMORY_MS = 60_000;

/**
 * Number of targets that crashed under each task, as far as this instance knows.
 *
 * @description Kept apart from the jobs, since a request may come again after its
 * job has ended.
 */
export class TaskLosses {
  /** In the order of the last loss. */
  private readonly losses = new Map<
    TaskId,
    {readonly count: number; readonly atMs: number}
  >();

  private constructor() {}

  /**
   * Creates an empty record of losses.
   *
   * @returns The record.
   * @example
   * const losses = TaskLosses.create();
   */
  static create(): TaskLosses {
    return new TaskLosses();
  }

  /** Number of targets that crashed under a task. */
  countOf(taskId: TaskId): number {
    return this.losses.get(taskId)?.count ?? 0;
  }

  /** Whether there are losses of any task. */
  hasAny(nowMs: number): boolean {
    this.forgetBefore(nowMs - MEMORY_MS);
    return this.losses.size > 0;
  }

  /** Records that at least this many targets crashed under a task. */
  record(taskId: TaskId, count: number, nowMs: number): void {
    this.forgetBefore(nowMs - MEMORY_MS);
    const highestCount = Math.max(count, this.countOf(taskId));
    this.losses.delete(taskId);
    this.losses.set(taskId, {count: highestCount, atMs: nowMs});
  }

  private forgetBefore(timeMs: number): void {
    for (const [taskId, {atMs}] of this.losses) {
      if (atMs > timeMs) {
        break;
      }
      this.losses.delete(taskId);
    }
  }
}
