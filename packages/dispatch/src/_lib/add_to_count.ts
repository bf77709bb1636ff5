/**
 * Adds to a count; removes the key when its count becomes zero.
 *
 * @param counts - Counts by key.
 * @param key - Key whose count changes.
 * @param delta - Change of the count.
 */
export function addToCount<K extends string>(
  counts: Map<K, number>,
  key: K,
  delta: 1 | -1,
): void {
  const next = (counts.get(key) ?? 0) + delta;
  if (next === 0) {
    counts.delete(key);
  } else {
    counts.set(key, next);
  }
}
