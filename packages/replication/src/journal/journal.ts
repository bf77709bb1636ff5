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
 * Durable records of a replica in one append-only file.
 */
export class Journal {
  private broken = false;

  private constructor(
    private readonly disk: Disk,
    /** Records that were found when the journal was opened. */
    readonly records: readonly JournalRecord[],
    /** Bytes of an unfinished record that were cut at opening. */
    readonly cutBytes: number,
    private size: number,
  ) {}

  /**
   * Opens the journal, or begins a new one with a new replica id.
   *
   * @param disk - Where it lies.
   * @param makeReplicaId - Makes the id for a new journal.
   * @returns The journal with its records.
   * @throws JournalCorruptError when it is damaged before its end.
   * @example
   * const journal = await Journal.create(disk, () => randomUUID() as ReplicaId);
   */
  static async create(
    disk: Disk,
    makeReplicaId: () => ReplicaId,
  ): Promise<Journal> {
    const bytes = await disk.read(FILE_NAME);
    if (bytes === undefined) {
      const meta: JournalRecord = {
        k: 'meta',
        version: 1,
        replicaId: makeReplicaId(),
      };
      const frame = encodeFrame(encodeMessage([meta]));
      await disk.replace(FILE_NAME, frame);
      return new Journal(disk, [meta], 0, frame.length);
    }
    const {payloads, soundBytes} = decodeFrames(bytes);
    const records = payloads.flatMap(
      payload => decodeMessage(payload) as JournalRecord[],
    );
    if (records[0]?.k !== 'meta') {
      throw JournalCorruptError.create(
        0,
        'the first record does not name the replica',
      );
    }
    if (soundBytes < bytes.length) {
      await disk.truncate(FILE_NAME, soundBytes);
    }
    return new Journal(disk, records, bytes.length - soundBytes, soundBytes);
  }

  /** Size in bytes. */
  get bytes(): number {
    return this.size;
  }

  /**
   * Makes records durable, all or none.
   *
   * @param records - Records in order.
   * @throws JournalAppendError when the disk refuses them.
   */
  async append(records: readonly JournalRecord[]): Promise<void> {
    if (this.broken) {
      throw JournalAppendError.create(
        false,
        new Error('an earlier append could not be undone'),
      );
    }
    const frame = encodeFrame(encodeMessage(records));
    try {
      await this.disk.append(FILE_NAME, frame);
      this.size += frame.length;
    } catch (err) {
      throw JournalAppendError.create(await this.undo(), err as Error);
    }
  }

  /**
   * Puts records in place of all that were there.
   *
   * @param records - The whole new content, `meta` first.
   */
  async replace(records: readonly JournalRecord[]): Promise<void> {
    const frame = encodeFrame(encodeMessage(records));
    try {
      await this.disk.replace(FILE_NAME, frame);
      this.size = frame.length;
    } catch (err) {
      throw JournalAppendError.create(true, err as Error);
    }
  }

  private async undo(): Promise<boolean> {
    try {
      await this.disk.truncate(FILE_NAME, this.size);
      return true;
    } catch {
      this.broken = true;
      return false;
    }
  }
}
