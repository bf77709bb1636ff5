import {crc32} from 'node:zlib';
import {FRAME_HEADER_BYTES} from './encode_frame.js';
import {JournalCorruptError} from './journal_corrupt_error.js';

/**
 * Payloads of a journal and the size of its valid part.
 */
export interface DecodedFrames {
  readonly payloads: readonly Uint8Array[];
  /** Bytes up to the end of the last complete frame. */
  readonly validBytes: number;
}

/**
 * Splits a journal into its payloads.
 *
 * @description Each append is synced before the next one begins, so a crash
 * can leave only the last frame incomplete. A damaged frame that is followed
 * by a complete one is therefore corruption, not an incomplete write.
 * @param bytes - Content of the journal file.
 * @returns Payloads in order, and the offset at which an incomplete frame
 * begins.
 * @throws JournalCorruptError when a complete frame follows a damaged one.
 * @example
 * const {payloads, validBytes} = decodeFrames(await readFile(path));
 */
export function decodeFrames(bytes: Uint8Array): DecodedFrames {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const payloads: Uint8Array[] = [];
  let offset = 0;
  while (offset < file.length) {
    const end = frameEnd(file, offset);
    if (end === undefined) {
      assertNoFrameAfter(file, offset);
      break;
    }
    payloads.push(file.subarray(offset + FRAME_HEADER_BYTES, end));
    offset = end;
  }
  return {payloads, validBytes: offset};
}

/** End of the frame at an offset, or undefined when it is incomplete or damaged. */
function frameEnd(file: Buffer, offset: number): number | undefined {
  if (offset + FRAME_HEADER_BYTES > file.length) {
    return undefined;
  }
  if (
    crc32(file.subarray(offset, offset + 4)) !== file.readUInt32LE(offset + 4)
  ) {
    return undefined;
  }
  const start = offset + FRAME_HEADER_BYTES;
  const end = start + file.readUInt32LE(offset);
  if (end > file.length) {
    return undefined;
  }
  return crc32(file.subarray(start, end)) === file.readUInt32LE(offset + 8)
    ? end
    : undefined;
}

function assertNoFrameAfter(file: Buffer, damagedOffset: number): void {
  for (
    let offset = damagedOffset + 1;
    offset + FRAME_HEADER_BYTES <= file.length;
    offset++
  ) {
    if (frameEnd(file, offset) !== undefined) {
      throw JournalCorruptError.create(
        damagedOffset,
        `a complete frame follows at byte ${offset}`,
      );
    }
  }
}
