import {readFile} from 'node:fs/promises';
import {baseUrl} from './base_url.js';
import type {InstanceAnswer} from './call_instance.js';
import {callInstance} from './call_instance.js';
import {UsageError} from './usage_error.js';

/** Arguments that name the instance and the key. */
export interface OperatorTarget {
  readonly url?: string;
  readonly 'key-file'?: string;
}

/**
 * Calls the operators' interface of an instance.
 *
 * @param target - Address and key file.
 * @param method - HTTP method.
 * @param path - Path.
 * @param body - JSON text, if any.
 * @returns The whole answer.
 * @throws UsageError when address or key are missing; CallFailure without a
 *   whole answer.
 */
export async function callOperator(
  target: OperatorTarget,
  method: string,
  path: string,
  body?: string,
): Promise<InstanceAnswer> {
  const url = new URL(path, baseUrl(target.url, 'PAPAYARUN_OPERATORS_URL'));
  const keyFile = target['key-file'] ?? process.env['PAPAYARUN_KEY_FILE'];
  if (!keyFile) {
    throw UsageError.create(
      '--key-file: expected a file, or PAPAYARUN_KEY_FILE set',
    );
  }
  let key: string;
  try {
    key = (await readFile(keyFile, 'utf8')).trim();
  } catch (err) {
    throw UsageError.create(`--key-file: ${(err as Error).message}`);
  }
  if (!/^[\x21-\x7e]+$/.test(key)) {
    throw UsageError.create(
      `--key-file: expected one line without spaces in ${keyFile}`,
    );
  }
  const headers = {
    authorization: `Bearer ${key}`,
    'content-type': 'application/json',
  };
  return callInstance(
    url,
    method,
    headers,
    body === undefined ? undefined : Buffer.from(body),
  );
}
