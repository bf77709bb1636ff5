import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false, moreTypes: false});

/**
 * Encodes a message between instances as MessagePack.
 *
 * @param message - Plain data.
 * @returns The bytes.
 * @throws Error when the data holds something that has no encoding.
 * @example
 * encodeMessage({type: 'heartbeat'});
 */
export function encodeMessage(message: unknown): Buffer {
  return packr.pack(message);
}
