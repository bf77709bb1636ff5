import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false, moreTypes: false});

/**
 * Encodes a message between instances as MessagePack.
 *
 * @param message - Plain data.
 * @returns The encoded bytes.
 * @throws Error when a value can't be encoded.
 * @example
 * encodeMessage({type: 'heartbeat'});
 */
export function encodeMessage(message: unknown): Buffer {
  return packr.pack(message);
}
