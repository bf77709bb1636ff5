import type {TaskId} from '@papayarun/protocol';

/**
 * Record of a run that ended on an emulated target.
 */
export interface EmulatedRunEnd {
  /** Sequence number, by which the dispatcher acknowledges the record. */
  readonly number: number;
  readonly taskId: TaskId;
  readonly run: number;
  /** Outcome of the run; `lapsed` when the target's lease expired first. */
  readonly how: 'done' | 'failed' | 'stopped' | 'lapsed';
}
