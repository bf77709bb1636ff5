import type {JobRecord} from './job_record.js';

/**
 * Whether a task of a job has run, runs or may still begin.
 *
 * @description An order that a target rejected, or a run that was stopped
 * before it began, does not count, since it can't be carried out any more.
 * @param record - The job.
 * @returns False only if no task has begun and none will.
 * @throws Never.
 * @example
 * mayHaveRun(record);
 */
export function mayHaveRun(record: JobRecord): boolean {
  return (
    record.hasStarted ||
    record.tasks.some(
      task => task.run !== undefined || task.state === 'claimed',
    )
  );
}
