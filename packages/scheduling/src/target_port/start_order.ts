import type {TaskId} from '@papayarun/protocol';

/**
 * Order to start a run of a task.
 */
export interface StartOrder {
  readonly taskId: TaskId;
  /** Run number, higher than that of each earlier run of the task. */
  readonly run: number;
  readonly spec: string;
  /** Fencing token of the sender. */
  readonly token: number;
  /** End of the lease on the target's clock, in milliseconds. */
  readonly leaseEndMs: number;
}
