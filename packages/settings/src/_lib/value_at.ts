const MAX_SHOWN_CHARACTERS = 80;

/**
 * Shows the value at a path as short JSON.
 *
 * @param root - Parsed document.
 * @param keys - Keys and array indices from the root.
 * @returns JSON text, cut after 80 characters, or `absent`.
 */
export function valueAt(root: unknown, keys: readonly PropertyKey[]): string {
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
