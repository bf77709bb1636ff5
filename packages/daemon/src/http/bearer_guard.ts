import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Refusal} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';

/**
 * Checks the key in a request's `authorization` header.
 *
 * @description Hashes are compared, so the time tells nothing about the key.
 * @param req - The request.
 * @param key - Key that is expected.
 * @returns A refusal when the key is missing or wrong.
 * @throws Never.
 * @example
 * const refusal = bearerGuard(req, operatorKey);
 */
export function bearerGuard(
  req: IncomingMessage,
  key: string,
): Refusal | undefined {
  const given = req.headers.authorization ?? '';
  const digest = (text: string): Buffer =>
    createHash('sha256').update(text).digest();
  if (timingSafeEqual(digest(given), digest(`Bearer ${key}`))) {
    return undefined;
  }
  return DispatchError.notRun('unauthorized', 'a valid key is needed', {
    field: 'authorization',
  }).refusal;
}
