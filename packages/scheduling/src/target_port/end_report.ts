import type {TaskId} from '@papayarun/protocol';

/**
 * A run that ended on a target.
 */
export interface EndReport {
  /** Rises by one with each end of an incarnation. */
  readonly number: number;
  readonly taskId: TaskId;
  readonly run: number;
  readonly how: 'done' | 'failed' | 'stopped' | 'lapsed';
}
