import type {TaskId} from '@papayarun/protocol';

/**
 * Order to start a run of a task.
 */
export interface StartOrder {
  readonly taskId: TaskId;
  /** Number of the start; higher than that of each earlier run. */
  readonly run: number;
  readonly spec: string;
  /** Fencing token of the sender. */
  readonly token: number;
  /** End of the lease on the target's clock, in milliseconds. */
  readonly leaseEndMs: number;
}
