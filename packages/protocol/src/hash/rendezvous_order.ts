import {hashText} from './hash_text.js';

/**
 * Orders candidates for a key by rendezvous (highest random weight) hashing.
 *
 * @description Thaler and Ravishankar, 1998: removing a candidate reassigns
 * only the keys for which it was the first choice. Ties are broken by name.
 * @param key - Key to place.
 * @param candidates - Names of the candidates.
 * @returns All candidates in order of preference.
 * @throws Never.
 * @example
 * const [primary, standby] = rendezvousOrder('runner-1', ['a', 'b', 'c']);
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
