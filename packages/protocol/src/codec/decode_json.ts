import {TextDecoder} from 'node:util';
import {exceedsJsonValues} from './exceeds_json_values.js';

const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});

/**
 * Decodes a JSON document, which is UTF-8 text.
 *
 * @param bytes - Received bytes.
 * @param maxValues - Number of values that the document may have, without limit by
 *   default. They are counted before it is decoded.
 * @returns Decoded plain data; its shape is not validated.
 * @throws Error when the bytes aren't UTF-8, or the text isn't JSON;
 *   RangeError when it has more values.
 * @example
 * decodeJson(Buffer.from('{"a": 1}')); // {a: 1}
 */
export function decodeJson(bytes: Uint8Array, maxValues = Infinity): unknown {
  if (exceedsJsonValues(bytes, maxValues)) {
    throw new RangeError(`it has more than ${maxValues} values`);
  }
  let text: string;
  try {
    text = decoder.decode(bytes);
  } catch {
    throw new Error('it is not UTF-8');
  }
  return JSON.parse(text);
}
