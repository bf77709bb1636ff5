import {UsageError} from './usage_error.js';

/**
 * Determines the address of an instance from an argument or the environment.
 *
 * @param urlArg - Value of `--url`, if specified.
 * @param environmentVariable - Name of the environment variable that is read when
 *   `--url` is absent.
 * @returns The address.
 * @throws UsageError when no address is specified or it is not an `http:` URL.
 */
export function resolveBaseUrl(
  urlArg: string | undefined,
  environmentVariable: string,
): URL {
  const text = urlArg ?? process.env[environmentVariable];
  if (!text) {
    throw UsageError.create(
      `--url: expected an address, or ${environmentVariable} in the environment`,
    );
  }
  if (!URL.canParse(text) || new URL(text).protocol !== 'http:') {
    throw UsageError.create(`--url: expected http://host:port; found ${text}`);
  }
  return new URL(text);
}
