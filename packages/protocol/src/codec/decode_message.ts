import {Unpackr} from 'msgpackr';

const unpackr = new Unpackr({useRecords: false, moreTypes: false});

/**
 * Decodes MessagePack bytes.
 *
 * @param bytes - Received or stored bytes.
 * @returns Decoded plain data; its shape is not validated.
 * @throws Error when the bytes aren't exactly one complete message.
 * @example
 * decodeMessage(encodeMessage({a: 1})); // {a: 1}
 */
export function decodeMessage(bytes: Uint8Array): unknown {
  return unpackr.unpack(bytes);
}
