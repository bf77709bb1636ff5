import type {JobRecord} from './job_record.js';

/**
 * Whether a job has a task that is to be placed, or taken over from an earlier
 * scheduler.
 *
 * @param record - The job.
 * @returns True if it has one.
 * @throws Never.
 * @example
 * hasUnplacedTask(record);
 */
export function hasUnplacedTask(record: JobRecord): boolean {
  return record.tasks.some(
    task => task.state === 'waiting' || task.state === 'claimed',
  );
}
