import VError from 'verror';

/**
 * A record could not be made durable.
 */
export class JournalAppendError extends VError {
  private constructor(
    /** Whether the journal was brought back to its state before. */
    readonly undone: boolean,
    cause: Error,
  ) {
    super({name: 'JournalAppendError', cause}, 'append to the journal failed');
  }

  /**
   * Makes the error.
   *
   * @param undone - Whether the journal can still be used.
   * @param cause - Error of the disk.
   * @returns The error.
   * @example
   * throw JournalAppendError.create(true, err);
   */
  static create(undone: boolean, cause: Error): JournalAppendError {
    return new JournalAppendError(undone, cause);
  }
}
