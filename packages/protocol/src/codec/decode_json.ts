import {TextDecoder} from 'node:util';

const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});

/**
 * Decodes a JSON document, which is UTF-8 text.
 *
 * @param bytes - Received bytes.
 * @returns Decoded plain data; its shape is not validated.
 * @throws Error when the bytes aren't UTF-8, or the text isn't JSON.
 * @example
 * decodeJson(Buffer.from('{"a": 1}')); // {a: 1}
 */
export function decodeJson(bytes: Uint8Array): unknown {
  let text: string;
  try {
    text = decoder.decode(bytes);
  } catch {
    throw new Error('it is not UTF-8');
  }
  return JSON.parse(text);
}
