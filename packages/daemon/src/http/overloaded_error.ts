import {DispatchError} from '@papayarun/protocol';

/** Time after which a client may try again, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * Error of a request that was refused for a limit of unfinished requests.
 *
 * @param reason - Which limit, in words.
 * @returns The error, which says that nothing has run.
 * @throws Never.
 * @example
 * throw overloadedError('no memory for the body');
 */
export function overloadedError(reason: string): DispatchError {
  return DispatchError.notRun('overloaded', `not run: ${reason}`, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
