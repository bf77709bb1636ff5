const MAX_SHOWN_CHARACTERS = 80;

/**
 * Formats the value at a path as truncated JSON.
 *
 * @param root - Parsed JSON document.
 * @param keys - Object keys and array indices, starting at the root.
 * @returns JSON text, truncated to 80 characters, or `absent` when the path does
 *   not exist.
 */
export function formatValueAt(
  root: unknown,
  keys: readonly PropertyKey[],
): string {
  let value = root;
  for (const key of keys) {
    if (
      typeof value !== 'object' ||
      value === null ||
      !Object.hasOwn(value, key)
    ) {
      return 'absent';
    }
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  const text = JSON.stringify(value) ?? 'absent';
  return text.length > MAX_SHOWN_CHARACTERS
    ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…`
    : text;
}
