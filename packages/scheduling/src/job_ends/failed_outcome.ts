import type {JobFailure, JobOutcome} from '@papayarun/protocol';
import {refusal} from './refusal.js';

/**
 * Outcome of a job that can't be completed.
 *
 * @description A job of which nothing has run is refused and may be submitted
 * elsewhere, unless its caller has cancelled it.
 * @param reason - Why it can't be completed.
 * @param mayHaveRun - Whether a task has run, runs or may still begin.
 * @returns A refusal or a failure.
 * @throws Never.
 * @example
 * failedOutcome('deadline', false); // refused as too late
 */
export function failedOutcome(
  reason: JobFailure,
  mayHaveRun: boolean,
): JobOutcome {
  if (mayHaveRun || reason === 'cancelledByCaller') {
    return {kind: 'failed', reason};
  }
  return refusal(
    reason === 'cancelled' || reason === 'evacuated' ? reason : 'tooLate',
  );
}
