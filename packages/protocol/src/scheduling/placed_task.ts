import type {TargetId} from '../ids/target_id.js';
import type {TaskId} from '../ids/task_id.js';

/**
 * Where a scheduler that ends had placed a task of a job.
 */
export interface PlacedTask {
  readonly taskId: TaskId;
  readonly targetId: TargetId;
  /** Highest run that was ordered; the next one must be higher. */
  readonly run: number;
  readonly isDone: boolean;
}
