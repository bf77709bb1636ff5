import type {TaskId} from '@papayarun/protocol';

/**
 * A run that ended on a target.
 */
export interface EndReport {
  /** Sequence number of the end in this incarnation of the target. */
  readonly number: number;
  readonly taskId: TaskId;
  readonly run: number;
  readonly how: 'done' | 'failed' | 'stopped' | 'lapsed';
}
