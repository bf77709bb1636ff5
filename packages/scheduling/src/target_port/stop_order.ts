import type {TaskId} from '@papayarun/protocol';

/**
 * Order to stop a run of a task.
 */
export interface StopOrder {
  readonly taskId: TaskId;
  readonly run: number;
  /** Fencing token of the sender. */
  readonly token: number;
}
