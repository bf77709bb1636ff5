import {randomUUID} from 'node:crypto';
import {callInstance} from './call_instance.js';
import {UsageError} from './usage_error.js';

/**
 * Creates an idempotency key with the prefix of an instance's data centre.
 *
 * @param baseUrl - URL of the instance's callers port.
 * @returns The key.
 * @throws UsageError when the instance does not return a prefix yet.
 */
export async function createIdempotencyKey(baseUrl: URL): Promise<string> {
  const response = await callInstance(
    new URL('/v1/id-prefix', baseUrl),
    'GET',
    {},
  );
  const {prefix, message} = JSON.parse(response.text) as {
    prefix?: string;
    message?: string;
  };
  if (prefix === undefined) {
    throw UsageError.create(`the instance returned no id prefix: ${message}`);
  }
  return `${prefix}${randomUUID()}`;
}
