import type {TargetId} from '../ids/target_id.js';
import type {TaskId} from '../ids/task_id.js';

/**
 * Placement of a task, handed over by a scheduler that gives up its role.
 */
export interface PlacedTask {
  readonly taskId: TaskId;
  readonly targetId: TargetId;
  /** Highest run number ordered so far; the next run must use a higher one. */
  readonly run: number;
  readonly isDone: boolean;
}
