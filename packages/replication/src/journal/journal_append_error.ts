import VError from 'verror';

/**
 * Writing records to the journal failed.
 */
export class JournalAppendError extends VError {
  private constructor(
    /** Whether the journal has its content from before the failed write. */
    readonly rolledBack: boolean,
    cause: Error,
  ) {
    super({name: 'JournalAppendError', cause}, 'writing to the journal failed');
  }

  /**
   * Creates the error.
   *
   * @param rolledBack - Whether the journal has its previous content and can still
   * be used.
   * @param cause - Error of the disk, or of an earlier append.
   * @returns The error.
   * @example
   * throw JournalAppendError.create(true, err);
   */
  static create(rolledBack: boolean, cause: Error): JournalAppendError {
    return new JournalAppendError(rolledBack, cause);
  }
}
