import {crc32} from 'node:zlib';

/** Size of the header: payload length, its CRC-32, and the payload's CRC-32. */
export const FRAME_HEADER_BYTES = 12;

/**
 * Encodes a payload as a journal frame.
 *
 * @description A frame is a little-endian u32 length, the CRC-32 of these four
 * bytes, the CRC-32 of the payload, and the payload. The length has its own
 * checksum so that a damaged length isn't mistaken for an incomplete write.
 * @param payload - Bytes to encode.
 * @returns Header followed by the payload.
 * @throws Never.
 * @example
 * encodeFrame(encodeMessage(records));
 */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.alloc(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32LE(payload.length, 0);
  frame.writeUInt32LE(crc32(frame.subarray(0, 4)), 4);
  frame.writeUInt32LE(crc32(payload), 8);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}
