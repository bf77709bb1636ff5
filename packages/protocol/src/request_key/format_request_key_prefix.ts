import type {DataCentreId} from '../ids/data_centre_id.js';

const SECONDS_RADIX = 36;
const MS_PER_SECOND = 1000;

/**
 * Formats the prefix of an idempotency key; the caller appends an opaque part.
 *
 * @param home - Home data centre, the only one that may start the request.
 * @param generation - Current claim generation of the home data centre.
 * @param wallNowMs - Wall time in milliseconds.
 * @returns The prefix, including the trailing dot.
 * @throws Never.
 * @example
 * formatRequestKeyPrefix('centro', 1, Date.now()) + 'a81bc81b';
 */
export function formatRequestKeyPrefix(
  home: DataCentreId,
  generation: number,
  wallNowMs: number,
): string {
  const seconds = Math.floor(wallNowMs / MS_PER_SECOND);
  return `${home}.${generation}.${seconds.toString(SECONDS_RADIX)}.`;
}
