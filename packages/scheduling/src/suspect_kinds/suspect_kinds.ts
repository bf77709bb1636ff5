import type {KindId, TaskId} from '@papayarun/protocol';

/** Tasks of a kind that were given up from which the kind is suspected. */
const MIN_GIVEN_UP_TASKS = 2;
/** Time for which a task that was given up counts, in milliseconds. */
const MEMORY_MS = 20_000;

/**
 * Kinds of jobs several of whose tasks have lately crashed their targets.
 */
export class SuspectKinds {
  /** Tasks that were given up, in the order of time. */
  private readonly givenUp = new Map<
    TaskId,
    {readonly kind: KindId; readonly atMs: number}
  >();

  private constructor() {}

  /**
   * Creates a record without kinds.
   *
   * @returns The record.
   * @example
   * const kinds = SuspectKinds.create();
   */
  static create(): SuspectKinds {
    return new SuspectKinds();
  }

  /** Records a task that was given up since it crashed its targets. */
  record(kind: KindId, taskId: TaskId, nowMs: number): void {
    this.forgetBefore(nowMs - MEMORY_MS);
    if (!this.givenUp.has(taskId)) {
      this.givenUp.set(taskId, {kind, atMs: nowMs});
    }
  }

  /** Whether a kind is suspected. */
  has(kind: KindId, nowMs: number): boolean {
    this.forgetBefore(nowMs - MEMORY_MS);
    let count = 0;
    for (const task of this.givenUp.values()) {
      count += Number(task.kind === kind);
    }
    return count >= MIN_GIVEN_UP_TASKS;
  }

  private forgetBefore(timeMs: number): void {
    for (const [taskId, {atMs}] of this.givenUp) {
      if (atMs > timeMs) {
        break;
      }
      this.givenUp.delete(taskId);
    }
  }
}
