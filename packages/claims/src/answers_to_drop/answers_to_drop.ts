/**
 * Chooses the stored answers that make room for a new one.
 *
 * @description A caller sends a request again soon after the first time, so the
 * oldest answers are given up first. A new answer that would not fit into an
 * empty table is given up itself and displaces no other.
 * @param held - Ids and bytes of the stored answers, oldest first.
 * @param heldBytes - Bytes of all stored answers together.
 * @param newBytes - Bytes of the new answer.
 * @param maxBytes - Limit of all stored answers together, in bytes.
 * @returns Ids of the stored answers to give up, and whether the new one is kept.
 * @throws Never.
 * @example
 * answersToDrop(new Map([['a', 6]]), 6, 6, 10); // {ids: ['a'], isNewKept: true}
 */
export function answersToDrop(
  held: ReadonlyMap<string, number>,
  heldBytes: number,
  newBytes: number,
  maxBytes: number,
): {readonly ids: readonly string[]; readonly isNewKept: boolean} {
  if (newBytes > maxBytes) {
    return {ids: [], isNewKept: false};
  }
  let excessBytes = heldBytes + newBytes - maxBytes;
  const ids: string[] = [];
  for (const [id, bytes] of held) {
    if (excessBytes <= 0) {
      break;
    }
    ids.push(id);
    excessBytes -= bytes;
  }
  return {ids, isNewKept: true};
}
