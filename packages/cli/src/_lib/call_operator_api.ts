import {readFile} from 'node:fs/promises';
import {resolveBaseUrl} from './resolve_base_url.js';
import type {InstanceResponse} from './call_instance.js';
import {callInstance} from './call_instance.js';
import {UsageError} from './usage_error.js';

/** Command-line arguments that specify the instance and the key file. */
export interface OperatorArgs {
  readonly url?: string;
  readonly 'key-file'?: string;
}

/**
 * Sends a request to the operator API of an instance.
 *
 * @param args - Address of the instance and key file.
 * @param method - HTTP method.
 * @param path - Path of the URL.
 * @param body - Body as JSON text, if any.
 * @returns The complete response.
 * @throws UsageError when the address or the key is missing or invalid; CallError
 *   when the instance does not return a complete response.
 */
export async function callOperatorApi(
  args: OperatorArgs,
  method: string,
  path: string,
  body?: string,
): Promise<InstanceResponse> {
  const url = new URL(
    path,
    resolveBaseUrl(args.url, 'PAPAYARUN_OPERATORS_URL'),
  );
  const keyFile = args['key-file'] ?? process.env['PAPAYARUN_KEY_FILE'];
  if (!keyFile) {
    throw UsageError.create(
      '--key-file: expected a file, or PAPAYARUN_KEY_FILE in the environment',
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
      `--key-file: expected one line of printable ASCII without spaces in ${keyFile}`,
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
