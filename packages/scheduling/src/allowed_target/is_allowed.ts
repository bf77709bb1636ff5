import type {TargetReport} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import type {TaskRecord} from '../_lib/task_record.js';

/** What is known of the target. */
interface AllowedTarget {
  readonly report: Pick<TargetReport, 'targetId' | 'service' | 'labels'>;
}

/**
 * Whether a task may run on a target, if there is room for it.
 *
 * @param record - Job of the task.
 * @param task - The task.
 * @param session - Session with the target.
 * @returns False if the target is of another service or has not the required
 *   label, has as many tasks of the step as it may, or is excluded for the task.
 * @throws Never.
 * @example
 * isAllowed(record, task, session);
 */
export function isAllowed(
  record: JobRecord,
  task: TaskRecord,
  session: AllowedTarget,
): boolean {
  const {job} = record;
  const step = job.steps[task.stepIndex]!;
  return (
    session.report.service === job.service &&
    !task.excludedTargets.has(session.report.targetId) &&
    (step.requiredLabel === undefined ||
      session.report.labels.includes(step.requiredLabel)) &&
    (step.maxPerTarget === undefined ||
      countTasksOnTarget(record, task.stepIndex, session) < step.maxPerTarget)
  );
}

function countTasksOnTarget(
  record: JobRecord,
  stepIndex: number,
  session: AllowedTarget,
): number {
  return record.tasks.filter(
    task => task.stepIndex === stepIndex && task.run?.session === session,
  ).length;
}
