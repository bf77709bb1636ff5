/**
 * Adds to a count; a count of zero is removed.
 *
 * @param counts - Counts by key.
 * @param key - Key to count.
 * @param by - What to add.
 */
export function addTo<K extends string>(
  counts: Map<K, number>,
  key: K,
  by: 1 | -1,
): void {
  const next = (counts.get(key) ?? 0) + by;
  if (next === 0) {
    counts.delete(key);
  } else {
    counts.set(key, next);
  }
}
