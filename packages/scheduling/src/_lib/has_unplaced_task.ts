import type {JobRecord} from './job_record.js';

/**
 * Whether a job has tasks to place, or to take over.
 *
 * @param record - The job.
 * @returns True when it has.
 * @throws Never.
 * @example
 * hasWaitingTask(record);
 */
export function hasUnplacedTask(record: JobRecord): boolean {
  return record.tasks.some(
    task => task.state === 'waiting' || task.state === 'claimed',
  );
}
