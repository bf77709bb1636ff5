import type {Refusal} from '../refusal/refusal.js';
import {DispatchError} from './dispatch_error.js';

/**
 * Converts any thrown value to a refusal.
 *
 * @description An error of any other class becomes `mayHaveRun`, because it is
 * unknown how far the request got.
 * @param err - The thrown value.
 * @returns The refusal.
 * @throws Never.
 * @example
 * refusalFromError(new Error('x')).verdict.kind; // 'mayHaveRun'
 */
export function refusalFromError(err: unknown): Refusal {
  if (err instanceof DispatchError) {
    return err.refusal;
  }
  const message = err instanceof Error ? err.message : String(err);
  return {verdict: {kind: 'mayHaveRun'}, code: 'internal', message};
}
