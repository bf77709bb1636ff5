import type {DataCentreId} from '../ids/data_centre_id.js';

const SECONDS_RADIX = 36;
const MS_PER_SECOND = 1000;

/**
 * Prefix that a caller puts before its own opaque part.
 *
 * @param home - Data centre that will start the request.
 * @param generation - Its current claim generation.
 * @param wallNowMs - Wall time in milliseconds.
 * @returns The prefix, with its closing dot.
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
