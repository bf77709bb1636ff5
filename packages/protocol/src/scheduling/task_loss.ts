import type {KindId} from '../ids/kind_id.js';
import type {TaskId} from '../ids/task_id.js';

/**
 * Targets that crashed while a task ran on them.
 */
export interface TaskLoss {
  readonly kind: KindId;
  readonly taskId: TaskId;
  /** Number of targets so far. */
  readonly targets: number;
}
