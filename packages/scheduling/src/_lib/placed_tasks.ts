import type {PlacedTask, TargetId, TaskId} from '@papayarun/protocol';
import type {JobRecord} from './job_record.js';
import type {OrderedRun} from './ordered_run.js';

/**
 * Placed tasks of a job, for the handover to the next scheduler.
 *
 * @param record - The job.
 * @param openRuns - Runs that aren't known to have ended, by task; also those of
 *   other submissions of the job.
 * @returns The tasks that are done or may be on a target.
 * @throws Never.
 * @example
 * placedTasks(record, openRuns);
 */
export function placedTasks(
  record: JobRecord,
  openRuns: ReadonlyMap<TaskId, OrderedRun>,
): PlacedTask[] {
  return record.tasks.flatMap(task => {
    const run = task.run ?? openRuns.get(task.taskId);
    const targetId = run?.session.report.targetId ?? task.claimedTargetId;
    const isDone = task.state === 'done';
    return isDone || targetId !== undefined
      ? [
          {
            taskId: task.taskId,
            targetId: targetId ?? ('' as TargetId),
            run: Math.max(task.nextRunNumber - 1, run?.runNumber ?? 0),
            isDone,
          },
        ]
      : [];
  });
}
