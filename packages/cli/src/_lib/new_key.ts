import {randomUUID} from 'node:crypto';
import {callInstance} from './call_instance.js';
import {UsageError} from './usage_error.js';

/**
 * Makes an idempotency key homed at an instance's data centre.
 *
 * @param base - Address of the instance's callers' port.
 * @returns The key.
 * @throws UsageError when the instance gives no prefix yet.
 */
export async function newKey(base: URL): Promise<string> {
  const answer = await callInstance(new URL('/v1/id-prefix', base), 'GET', {});
  const {prefix, message} = JSON.parse(answer.text) as {
    prefix?: string;
    message?: string;
  };
  if (prefix === undefined) {
    throw UsageError.create(`no id prefix: ${message}`);
  }
  return `${prefix}${randomUUID()}`;
}
