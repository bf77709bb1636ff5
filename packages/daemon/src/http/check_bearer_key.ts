import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Refusal} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';

/**
 * Checks the bearer key in the `authorization` header of a request.
 *
 * @description Compares SHA-256 hashes in constant time, so that the response
 * time does not reveal the key.
 * @param req - Incoming request.
 * @param key - Expected key.
 * @returns A refusal if the key is missing or wrong, otherwise undefined.
 * @throws Never.
 * @example
 * const refusal = checkBearerKey(req, operatorKey);
 */
export function checkBearerKey(
  req: IncomingMessage,
  key: string,
): Refusal | undefined {
  const authorization = req.headers.authorization ?? '';
  const sha256 = (text: string): Buffer =>
    createHash('sha256').update(text).digest();
  if (timingSafeEqual(sha256(authorization), sha256(`Bearer ${key}`))) {
    return undefined;
  }
  return DispatchError.notRun(
    'unauthorized',
    'the authorization header must carry a valid bearer key',
    {
      field: 'authorization',
    },
  ).refusal;
}
