import type {ScheduledJob} from '@papayarun/protocol';

/**
 * Key of a job's record, unique among the parts of a split job.
 *
 * @param job - The job, or a part of it.
 * @returns The job id and the index of the first task.
 * @throws Never.
 * @example
 * jobKey(job); // '5c0e7a21d94b36f8.0'
 */
export function jobKey(job: ScheduledJob): string {
  return `${job.id}.${job.steps[0]!.firstIndex}`;
}
