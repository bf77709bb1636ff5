import type {PlacedTask, TargetId} from '@papayarun/protocol';
import type {JobRecord} from './job_record.js';

/**
 * Placed tasks of a job, for the handover to the next scheduler.
 *
 * @param record - The job.
 * @returns The tasks that are done or may be on a target.
 * @throws Never.
 * @example
 * placedTasks(record);
 */
export function placedTasks(record: JobRecord): PlacedTask[] {
  return record.tasks.flatMap(task => {
    const targetId = task.run?.session.report.targetId ?? task.claimedTargetId;
    const isDone = task.state === 'done';
    return isDone || targetId !== undefined
      ? [
          {
            taskId: task.taskId,
            targetId: targetId ?? ('' as TargetId),
            run: task.nextRunNumber - 1,
            isDone,
          },
        ]
      : [];
  });
}
