import {hashText} from './hash_text.js';

/**
 * Orders candidates for a key by rendezvous (highest random weight) hashing.
 *
 * @description Thaler and Ravishankar, 1998: removing one candidate moves only
 * the keys that it was first for. Ties are broken by name.
 * @param key - Key to place.
 * @param candidates - Names to choose from.
 * @returns All candidates, the first choice first.
 * @throws Never.
 * @example
 * const [keeper, standby] = rendezvousOrder('runner-1', ['a', 'b', 'c']);
 */
export function rendezvousOrder<T extends string>(
  key: string,
  candidates: readonly T[],
): T[] {
  const weighted = candidates.map(name => ({
    name,
    weight: hashText(`${key}|${name}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
  return weighted.map(entry => entry.name);
}
