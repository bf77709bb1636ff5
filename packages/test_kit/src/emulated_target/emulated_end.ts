import type {TaskId} from '@papayarun/protocol';

/**
 * A run that ended on an emulated target.
 */
export interface EmulatedEnd {
  readonly number: number;
  readonly taskId: TaskId;
  readonly run: number;
  readonly how: 'done' | 'failed' | 'stopped' | 'lapsed';
}
