import type {TaskId} from '@papayarun/protocol';

/**
 * A run that is present on a target.
 */
export interface RunReport {
  readonly taskId: TaskId;
  readonly run: number;
}
