import {crc32} from 'node:zlib';

/** Bytes before the payload: length, its checksum, the payload's checksum. */
export const FRAME_HEADER_BYTES = 12;

/**
 * Frames a payload for the journal.
 *
 * @description Little-endian u32 length, CRC-32 of these four bytes, CRC-32 of
 * the payload, payload. The length has its own checksum so that a damaged one
 * isn't taken for an unfinished write.
 * @param payload - Bytes to frame.
 * @returns Header and payload.
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
