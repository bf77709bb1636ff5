import {Unpackr} from 'msgpackr';

const unpackr = new Unpackr({useRecords: false, moreTypes: false});

/**
 * Decodes MessagePack bytes.
 *
 * @param bytes - What was received or read.
 * @returns Plain data of unknown shape.
 * @throws Error on bytes that aren't one whole message.
 * @example
 * decodeMessage(encodeMessage({a: 1})); // {a: 1}
 */
export function decodeMessage(bytes: Uint8Array): unknown {
  return unpackr.unpack(bytes);
}
