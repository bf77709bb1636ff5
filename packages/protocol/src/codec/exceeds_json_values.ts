const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;
/** Space, tab, line feed and carriage return. */
const WHITESPACE: ReadonlySet<number | undefined> = new Set([
  0x20, 0x09, 0x0a, 0x0d,
]);

/**
 * Tells whether a JSON document has more values than a limit, without decoding it.
 *
 * @description The values are the document itself and the items of its lists and
 * objects, of which each but the first one follows a comma.
 * @param bytes - JSON text; need not be valid.
 * @param maxValues - Limit of the number of values.
 * @returns Whether it has more.
 * @throws Never.
 * @example
 * exceedsJsonValues(Buffer.from('[7, "a,b"]'), 2); // true: the list and its items
 */
export function exceedsJsonValues(
  bytes: Uint8Array,
  maxValues: number,
): boolean {
  // Each value but the document has a comma or an opening bracket before it.
  if (bytes.length < maxValues) {
    return false;
  }
  let values = 1;
  for (let i = 0; i < bytes.length && values <= maxValues; i++) {
    switch (bytes[i]) {
      case QUOTE:
        i = endOfString(bytes, i);
        break;
      case COMMA:
        values++;
        break;
      case OPENING_BRACKET:
        values += Number(nextByte(bytes, i) !== CLOSING_BRACKET);
        break;
      case OPENING_BRACE:
        values += Number(nextByte(bytes, i) !== CLOSING_BRACE);
        break;
    }
  }
  return values > maxValues;
}

/** First byte after a position that isn't white space. */
function nextByte(bytes: Uint8Array, position: number): number | undefined {
  let i = position + 1;
  while (WHITESPACE.has(bytes[i])) {
    i++;
  }
  return bytes[i];
}

/** Index of the quote that ends a string, or of the end of the text. */
function endOfString(bytes: Uint8Array, start: number): number {
  let i = start + 1;
  while (i < bytes.length && bytes[i] !== QUOTE) {
    i += bytes[i] === BACKSLASH ? 2 : 1;
  }
  return i;
}
