import {UsageError} from './usage_error.js';

/**
 * Address of an instance from an argument or the environment.
 *
 * @param given - Value of `--url`, if given.
 * @param variable - Environment variable used otherwise.
 * @returns The address.
 * @throws UsageError when there is none, or it is no HTTP address.
 */
export function baseUrl(given: string | undefined, variable: string): URL {
  const text = given ?? process.env[variable];
  if (!text) {
    throw UsageError.create(`--url: expected an address, or ${variable} set`);
  }
  if (!URL.canParse(text) || new URL(text).protocol !== 'http:') {
    throw UsageError.create(`--url: expected http://host:port; found ${text}`);
  }
  return new URL(text);
}
