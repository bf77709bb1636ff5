import VError from 'verror';

/**
 * The journal has a damaged frame before its last one, or no replica id; the
 * replica must not start from it.
 */
export class JournalCorruptError extends VError {
  private constructor(
    /** Byte at which the damage begins. */
    readonly offset: number,
    reason: string,
  ) {
    super(
      {name: 'JournalCorruptError', info: {offset}},
      'journal is corrupt at byte %d: %s; move the data folder away and start again to rejoin as a new replica',
      offset,
      reason,
    );
  }

  /**
   * Creates the error.
   *
   * @param offset - Byte at which the damage begins.
   * @param reason - Kind of damage.
   * @returns The error.
   * @example
   * throw JournalCorruptError.create(4096, 'checksum differs');
   */
  static create(offset: number, reason: string): JournalCorruptError {
    return new JournalCorruptError(offset, reason);
  }
}
