import {describe, expect, it} from 'vitest';
import {entrySchemas} from './entry_schemas.js';

/** Largest behaviour in bytes of JSON. */
const LIMIT_BYTES = 8_192;
const QUOTES_BYTES = 2;

/** Text that takes the given number of bytes as JSON in UTF-8. */
function textOf(jsonBytes: number, char: string): string {
  const charBytes = Buffer.byteLength(char);
  const chars = Math.floor((jsonBytes - QUOTES_BYTES) / charBytes);
  const rest = jsonBytes - QUOTES_BYTES - chars * charBytes;
  return char.repeat(chars) + '-'.repeat(rest);
}

describe('entrySchemas', () => {
  it.each(['a', 'ç', '湯', '🛁'])(
    'limits a behaviour by its bytes, not its characters, with %s',
    char => {
      const isValid = (bytes: number): boolean =>
        entrySchemas.behaviour.safeParse(textOf(bytes, char)).success;
      expect(isValid(LIMIT_BYTES)).toBe(true);
      expect(isValid(LIMIT_BYTES + 1)).toBe(false);
    },
  );
});
