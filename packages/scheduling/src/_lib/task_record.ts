import type {TargetId, TaskId} from '@papayarun/protocol';
import type {JobRecord} from './job_record.js';
import type {RunRecord} from './run_record.js';

/**
 * A task of a job at the scheduler.
 *
 * @description `claimed`: an earlier scheduler had placed it; it is not known
 * yet whether it runs.
 */
export interface TaskRecord {
  readonly job: JobRecord;
  readonly taskId: TaskId;
  readonly stepIndex: number;
  state: 'blocked' | 'waiting' | 'claimed' | 'placed' | 'done';
  /** Target that an earlier scheduler had ordered it at, while claimed. */
  claimedTargetId: TargetId | undefined;
  /** Runs that ended as failed. */
  failures: number;
  /** Number of the next run. */
  nextRunNumber: number;
  run: RunRecord | undefined;
  /** Targets on which a run of it went wrong. */
  readonly excludedTargets: Set<TargetId>;
}
