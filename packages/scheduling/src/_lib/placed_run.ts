import type {JobRecord} from './job_record.js';
import type {OrderedRun} from './ordered_run.js';
import type {TaskRecord} from './task_record.js';

/**
 * Run with the records that its end affects.
 */
export interface PlacedRun extends OrderedRun {
  /** Job of the task. */
  readonly record: JobRecord;
  readonly task: TaskRecord;
}
