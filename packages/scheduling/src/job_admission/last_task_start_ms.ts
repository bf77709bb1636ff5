import type {JobQuote} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';

/**
 * Time until the last task of a quote starts.
 *
 * @param quote - When the tasks of a job would end.
 * @param record - The job.
 * @returns Milliseconds.
 * @throws Never.
 * @example
 * lastTaskStartMs(admission.quote, record);
 */
export function lastTaskStartMs(
  quote: JobQuote,
  {expectedMs, tasks}: JobRecord,
): number {
  return Math.max(
    ...quote.endsMs.map((endMs, n) => endMs - expectedMs[tasks[n]!.stepIndex]!),
  );
}
