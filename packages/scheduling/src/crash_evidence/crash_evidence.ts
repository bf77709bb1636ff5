import type {KindId, TaskId, TaskLoss} from '@papayarun/protocol';
import {SuspectKinds} from '../suspect_kinds/suspect_kinds.js';
import {TaskLosses} from '../task_losses/task_losses.js';

/** Number of targets that crash under a task after which it is given up. */
const MAX_TASK_LOSSES = 2;

/**
 * What this instance knows of tasks and kinds that crash their targets.
 *
 * @description Shared by the schedulers of an instance, and told to other
 * instances, so that it outlives a scheduler.
 */
export class CrashEvidence {
  private readonly losses = TaskLosses.create();
  private readonly kinds = SuspectKinds.create();

  private constructor(private readonly onLoss: (loss: TaskLoss) => void) {}

  /**
   * Creates a record without evidence.
   *
   * @param onLoss - Called with each loss that is seen here.
   * @returns The record.
   * @example
   * const crashes = CrashEvidence.create(loss => tellPeers(loss));
   */
  static create(onLoss: (loss: TaskLoss) => void): CrashEvidence {
    return new CrashEvidence(onLoss);
  }

  /** Records that a target crashed while a task ran on it. */
  recordCrash(kind: KindId, taskId: TaskId, nowMs: number): void {
    const loss = {kind, taskId, targets: this.losses.countOf(taskId) + 1};
    this.recordLoss(loss, nowMs);
    this.onLoss(loss);
  }

  /** Records a loss that another instance has seen. */
  recordLoss({kind, taskId, targets}: TaskLoss, nowMs: number): void {
    this.losses.record(taskId, targets, nowMs);
    if (this.isGivenUp(taskId)) {
      this.kinds.record(kind, taskId, nowMs);
    }
  }

  /** Whether any task is suspected. */
  hasSuspects(nowMs: number): boolean {
    return this.losses.hasAny(nowMs);
  }

  /** Whether a target crashed under a task, by its fault or beside another. */
  isSuspect(taskId: TaskId): boolean {
    return this.losses.countOf(taskId) > 0;
  }

  /** Whether so many targets crashed under a task that it isn't started again. */
  isGivenUp(taskId: TaskId): boolean {
    return this.losses.countOf(taskId) >= MAX_TASK_LOSSES;
  }

  /** Whether several tasks of a kind were given up lately. */
  isKindSuspect(kind: KindId, nowMs: number): boolean {
    return this.kinds.has(kind, nowMs);
  }
}
