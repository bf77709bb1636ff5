import type {TargetId, TaskId} from '@papayarun/protocol';
import type {OrderedRun} from './ordered_run.js';

/**
 * State of a task at its scheduler.
 *
 * @description `blocked`: an earlier step is not done. `claimed`: an earlier
 * scheduler placed the task, and its target has not yet confirmed whether it
 * runs.
 */
export interface TaskRecord {
  readonly taskId: TaskId;
  readonly stepIndex: number;
  state: 'blocked' | 'waiting' | 'claimed' | 'placed' | 'done';
  /** Target on which an earlier scheduler placed the task. */
  claimedTargetId: TargetId | undefined;
  /** Number of runs that failed. */
  failures: number;
  /** Number of the next run. */
  nextRunNumber: number;
  run: OrderedRun | undefined;
  /** Longest time after which a run was stopped, in milliseconds; 0 if none. */
  longestStoppedMs: number;
  /** Targets that are not used again, since a run did not complete there. */
  readonly excludedTargets: Set<TargetId>;
}
