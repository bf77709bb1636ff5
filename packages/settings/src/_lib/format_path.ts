/**
 * Formats a list of keys as a JSON path.
 *
 * @param keys - Object keys and array indices, starting at the root.
 * @returns JSON path, for example `$.peers.members[0].port`.
 */
export function formatPath(keys: readonly PropertyKey[]): string {
  return keys.reduce<string>(
    (path, key) =>
      typeof key === 'number' ? `${path}[${key}]` : `${path}.${String(key)}`,
    '$',
  );
}
