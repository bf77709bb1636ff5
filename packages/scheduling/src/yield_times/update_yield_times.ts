import type {JobRecord} from '../_lib/job_record.js';
import {yieldTimes} from './yield_times.js';

/**
 * Updates the place of a job in the order of its priority, if a step of it has more
 * tasks than the scheduler has slots.
 *
 * @param record - The job.
 * @throws Never.
 * @example
 * updateYieldTimes(record);
 */
export function updateYieldTimes(record: JobRecord): void {
  if (record.slots === 0 || record.widestStep <= record.slots) {
    return;
  }
  const {slots, criticalPathMs, expectedMs} = record;
  let workMs = 0;
  for (const {state, stepIndex} of record.tasks) {
    if (state === 'waiting' || state === 'blocked') {
      workMs += expectedMs[stepIndex]!;
    }
  }
  const endByMs = Math.min(record.objectiveAtMs, record.callerDeadlineAtMs);
  const times = yieldTimes({slots, workMs, criticalPathMs, endByMs});
  record.yieldsUntilMs = times.yieldsUntilMs;
  record.lateFromMs = times.lateFromMs;
}
