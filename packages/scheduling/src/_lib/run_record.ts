import type {Resources} from '@papayarun/protocol';
import type {TargetSession} from './target_session.js';
import type {TaskRecord} from './task_record.js';

/**
 * A run of a task that was ordered at a target.
 *
 * @description `uncertain`: the order to start got no answer.
 */
export interface RunRecord {
  readonly task: TaskRecord;
  readonly runNumber: number;
  readonly session: TargetSession;
  readonly needs: Resources;
  state: 'starting' | 'running' | 'uncertain' | 'stopping';
  /** Monotonic time of the order, in milliseconds. */
  readonly orderedMs: number;
  /** Time at which the target confirmed it, if it did. */
  confirmedMs: number | undefined;
  /** Whether its target was asked about it after its expected end. */
  isOverdueChecked: boolean;
  /** Expected run time on this target, in milliseconds. */
  readonly expectedMs: number;
  /** Lease end of the order to start, on the target's clock. */
  readonly leaseEndMs: number;
  /** Whether an earlier scheduler ordered it, so that its start is unknown. */
  readonly isAdopted: boolean;
  /** Whether its task was given up or moved, so that its end is no news. */
  isAbandoned: boolean;
}
