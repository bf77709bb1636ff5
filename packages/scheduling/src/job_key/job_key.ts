import type {ScheduledJob} from '@papayarun/protocol';

/**
 * Key of a submission: a job, or a part of a split job.
 *
 * @param job - The job or the part.
 * @returns The job id, and the first index and the number of tasks of each step.
 * @throws Never.
 * @example
 * jobKey(job); // '5c0e7a21d94b36f8.0+4'
 */
export function jobKey(job: ScheduledJob): string {
  const ranges = job.steps.map(step => `${step.firstIndex}+${step.count}`);
  return `${job.id}.${ranges.join()}`;
}
