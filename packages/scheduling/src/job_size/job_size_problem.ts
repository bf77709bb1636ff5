import type {ScheduledStep} from '@papayarun/protocol';
import {taskCount} from './task_count.js';

/**
 * Most tasks of a job. A scheduler keeps a record of each task, and all instances
 * that quote the job an expected end of each.
 */
const MAX_JOB_TASKS = 10_000;

/**
 * Checks the size of a job. The check itself takes no memory for the tasks.
 *
 * @param steps - Steps of the job.
 * @returns What is wrong with the size; undefined if the job can be scheduled.
 * @throws Never.
 * @example
 * jobSizeProblem([{count: 20_000}]);
 * // 'steps: the job has 20000 tasks, more than 10000'
 */
export function jobSizeProblem(
  steps: ReadonlyArray<Pick<ScheduledStep, 'count'>>,
): string | undefined {
  const count = taskCount(steps);
  return count > MAX_JOB_TASKS
    ? `steps: the job has ${count} tasks, more than ${MAX_JOB_TASKS}`
    : undefined;
}
