/**
 * Selects the targets that are in use while a data centre is taken back after an
 * evacuation.
 *
 * @description Their order is fixed, so that a target that is in use stays in use as
 * the share grows.
 * @param targets - Targets of a service in a shard.
 * @param idOf - Id of a target.
 * @param share - Share of the targets that are in use, from 0 to 1.
 * @returns The targets in use, at least one if there is any.
 * @throws Never.
 * @example
 * returnedTargets(['b', 'a'], id => id, 0.5); // ['a']
 */
export function returnedTargets<T>(
  targets: Iterable<T>,
  idOf: (target: T) => string,
  share: number,
): T[] {
  const sorted = [...targets].sort((a, b) => (idOf(a) < idOf(b) ? -1 : 1));
  return sorted.slice(0, Math.ceil(share * sorted.length));
}
