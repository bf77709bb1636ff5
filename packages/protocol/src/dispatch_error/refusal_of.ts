import type {Refusal} from '../refusal/refusal.js';
import {DispatchError} from './dispatch_error.js';

/**
 * Refusal behind any thrown value.
 *
 * @description An error of an unknown kind is taken as `mayHaveRun`: nothing
 * is known about how far the request got.
 * @param err - What was thrown.
 * @returns The refusal.
 * @throws Never.
 * @example
 * refusalOf(new Error('x')).verdict.kind; // 'mayHaveRun'
 */
export function refusalOf(err: unknown): Refusal {
  if (err instanceof DispatchError) {
    return err.refusal;
  }
  const message = err instanceof Error ? err.message : String(err);
  return {verdict: {kind: 'mayHaveRun'}, code: 'internal', message};
}
