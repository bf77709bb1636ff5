import type {JobFailure} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';

/**
 * Longest wait for a target to confirm whether a claimed task runs there, in
 * milliseconds.
 */
const CLAIM_TIMEOUT_MS = 400;

/**
 * Why a job as a whole has to be given up now.
 *
 * @param record - The job.
 * @param leftMs - Time until its answer would come too late, in milliseconds.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The reason; undefined if the job goes on.
 * @throws Never.
 * @example
 * jobProblem(record, -1, clock.now()); // 'deadline'
 */
export function jobProblem(
  {receivedMs, tasks}: JobRecord,
  leftMs: number,
  nowMs: number,
): JobFailure | undefined {
  if (leftMs < 0) {
    return 'deadline';
  }
  const isStuck = nowMs - receivedMs > CLAIM_TIMEOUT_MS;
  return isStuck && tasks.some(task => task.state === 'claimed')
    ? 'schedulerLost'
    : undefined;
}
