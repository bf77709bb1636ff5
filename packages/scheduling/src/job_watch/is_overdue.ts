import type {RunRecord} from '../_lib/run_record.js';

/**
 * Multiple of the expected run time after which the target is asked about a
 * run. `OVERDUE_SLACK_MS` is added to it.
 */
const OVERDUE_FACTOR = 1.5;
/**
 * Time beyond `OVERDUE_FACTOR` before a target is asked about a run, in
 * milliseconds.
 */
const OVERDUE_SLACK_MS = 40;

/**
 * Whether a run has taken clearly longer than expected on its target.
 *
 * @param run - The run.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns True if its target should be asked about it.
 * @throws Never.
 * @example
 * isOverdue({orderedMs: 0, expectedMs: 60}, 131); // true
 */
export function isOverdue(
  {orderedMs, expectedMs}: Pick<RunRecord, 'orderedMs' | 'expectedMs'>,
  nowMs: number,
): boolean {
  return nowMs - orderedMs > OVERDUE_FACTOR * expectedMs + OVERDUE_SLACK_MS;
}
