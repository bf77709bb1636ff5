import VError from 'verror';

/**
 * Writing records to the journal failed; its content counts as unchanged.
 */
export class JournalAppendError extends VError {
  private constructor(cause: Error) {
    super({name: 'JournalAppendError', cause}, 'writing to the journal failed');
  }

  /**
   * Creates the error.
   *
   * @param cause - Error of the disk.
   * @returns The error.
   * @example
   * throw JournalAppendError.create(err);
   */
  static create(cause: Error): JournalAppendError {
    return new JournalAppendError(cause);
  }
}
