/**
 * Writes a path of keys as a JSON path.
 *
 * @param keys - Keys and array indices from the root.
 * @returns For example `$.peers.members[0].port`.
 */
export function formatPath(keys: readonly PropertyKey[]): string {
  return keys.reduce<string>(
    (path, key) =>
      typeof key === 'number' ? `${path}[${key}]` : `${path}.${String(key)}`,
    '$',
  );
}
