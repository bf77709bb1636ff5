import type {ReplicaId} from '@papayarun/protocol';
import {decodeMessage, encodeMessage} from '@papayarun/protocol';
import type {Disk} from '../disk/disk.js';
import {decodeFrames} from './decode_frames.js';
import {encodeFrame} from './encode_frame.js';
import {JournalAppendError} from './journal_append_error.js';
import {JournalCorruptError} from './journal_corrupt_error.js';
import type {JournalRecord} from './journal_record.js';

const FILE_NAME = 'release.journal';

/**
 * Append-only file with the durable records of a replica.
 */
export class Journal {
  /** Whether a part of a failed append may follow the valid content. */
  private hasPartialAppend = false;

  private constructor(
    private readonly disk: Disk,
    /** Records that were in the file when the journal was opened. */
    readonly records: readonly JournalRecord[],
    /** Bytes of an incomplete last frame, which are ignored. */
    readonly truncatedBytes: number,
    private size: number,
  ) {}

  /**
   * Opens the journal, or creates one with a new replica id.
   *
   * @param disk - Disk that holds the file.
   * @param makeReplicaId - Generates the replica id of a new journal.
   * @returns The journal with its records.
   * @throws JournalCorruptError when a frame other than the last is damaged.
   * @example
   * const journal = await Journal.create(disk, () => randomUUID() as ReplicaId);
   */
  static async create(
    disk: Disk,
    makeReplicaId: () => ReplicaId,
  ): Promise<Journal> {
    const content = await disk.read(FILE_NAME);
    if (content === undefined) {
      const meta: JournalRecord = {
        k: 'meta',
        version: 1,
        replicaId: makeReplicaId(),
      };
      const frame = encodeFrame(encodeMessage([meta]));
      await disk.replace(FILE_NAME, frame);
      return new Journal(disk, [meta], 0, frame.length);
    }
    const {payloads, validBytes} = decodeFrames(content);
    const records = payloads.flatMap(
      payload => decodeMessage(payload) as JournalRecord[],
    );
    if (records[0]?.k !== 'meta') {
      throw JournalCorruptError.create(
        0,
        'the first record is not a meta record with the replica id',
      );
    }
    const incompleteBytes = content.length - validBytes;
    const journal = new Journal(disk, records, incompleteBytes, validBytes);
    journal.hasPartialAppend = incompleteBytes > 0;
    return journal;
  }

  /** Size of the file in bytes. */
  get sizeBytes(): number {
    return this.size;
  }

  /**
   * Appends records atomically and syncs them.
   *
   * @description A part that a failed append left is removed before anything
   * else is appended. A full disk may refuse that too, until it has room again.
   * @param records - Records in order.
   * @throws JournalAppendError when the disk fails to write them; a later append
   * may succeed.
   */
  async append(records: readonly JournalRecord[]): Promise<void> {
    await this.removePartialAppend();
    const frame = encodeFrame(encodeMessage(records));
    try {
      await this.disk.append(FILE_NAME, frame);
    } catch (err) {
      this.hasPartialAppend = true;
      throw JournalAppendError.create(err as Error);
    }
    this.size += frame.length;
  }

  /**
   * Atomically replaces the whole content.
   *
   * @param records - New content, starting with the `meta` record.
   * @throws JournalAppendError when the disk fails to write them; the previous
   * content is still in place.
   */
  async replace(records: readonly JournalRecord[]): Promise<void> {
    const frame = encodeFrame(encodeMessage(records));
    try {
      await this.disk.replace(FILE_NAME, frame);
    } catch (err) {
      throw JournalAppendError.create(err as Error);
    }
    this.size = frame.length;
    this.hasPartialAppend = false;
  }

  private async removePartialAppend(): Promise<void> {
    if (!this.hasPartialAppend) {
      return;
    }
    try {
      await this.disk.truncate(FILE_NAME, this.size);
    } catch (err) {
      throw JournalAppendError.create(err as Error);
    }
    this.hasPartialAppend = false;
  }
}
