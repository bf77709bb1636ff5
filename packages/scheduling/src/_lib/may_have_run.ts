import type {JobRecord} from './job_record.js';

/**
 * Whether a task of a job has run, runs or may still begin.
 *
 * @description An order that a target rejected, or that was stopped before it
 * began, counts for nothing: it can't be carried out any more.
 * @param record - The job.
 * @returns False only when no task has begun and none ever will.
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
