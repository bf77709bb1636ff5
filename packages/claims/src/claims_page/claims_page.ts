import type {ClaimRecord} from '@papayarun/protocol';
import {recordWithoutAnswer} from '../record_without_answer/record_without_answer.js';

/** Bytes of a message that a claim takes besides its answer, at most. */
const RECORD_BYTES = 512;

/**
 * Takes the first claims of a list that fit into one message.
 *
 * @description An answer that doesn't fit into a message of its own is left out;
 * the fact that the work has run is not.
 * @param claims - Claims in the order of the transfer, each with the bytes of its
 *   stored outcome.
 * @param maxRecords - Largest number of claims in a message.
 * @param maxBytes - Largest size of a message, in bytes.
 * @returns The claims of the message, at least one unless there are none, and
 *   whether they are all.
 * @throws Never.
 * @example
 * claimsPage([{record, outcomeBytes: 0}], 2_000, 1 << 20).done; // true
 */
export function claimsPage(
  claims: ReadonlyArray<{
    readonly record: ClaimRecord;
    readonly outcomeBytes: number;
  }>,
  maxRecords: number,
  maxBytes: number,
): {readonly records: ClaimRecord[]; readonly done: boolean} {
  const records: ClaimRecord[] = [];
  let pageBytes = 0;
  for (const {record, outcomeBytes} of claims) {
    const isTooLarge = RECORD_BYTES + outcomeBytes > maxBytes;
    const bytes = RECORD_BYTES + (isTooLarge ? 0 : outcomeBytes);
    const isFull =
      records.length >= maxRecords ||
      (records.length > 0 && pageBytes + bytes > maxBytes);
    if (isFull) {
      return {records, done: false};
    }
    records.push(
      isTooLarge && record.outcome
        ? recordWithoutAnswer(record, record.outcome)
        : record,
    );
    pageBytes += bytes;
  }
  return {records, done: true};
}
