import type {JobOutcome, JobRefusal} from '@papayarun/protocol';
import {EMPTY_QUOTE} from '@papayarun/protocol';

/**
 * Time after which a caller may retry a refused job, in milliseconds; allows
 * for a scheduler to take over.
 */
const TAKEOVER_RETRY_MS = 500;

/**
 * Outcome of a job that is refused, so that none of its tasks has run.
 *
 * @param reason - Why it is refused.
 * @param quote - When its tasks would end; empty by default.
 * @returns The outcome.
 * @throws Never.
 * @example
 * refusal('notScheduler');
 */
export function refusal(reason: JobRefusal, quote = EMPTY_QUOTE): JobOutcome {
  return {kind: 'refused', reason, retryAfterMs: TAKEOVER_RETRY_MS, quote};
}
