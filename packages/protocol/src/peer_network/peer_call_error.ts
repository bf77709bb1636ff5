import VError from 'verror';

/**
 * Error of a call to another instance that received no response.
 */
export class PeerCallError extends VError {
  private constructor(
    /** False when no byte of the call can have been sent by this process. */
    readonly mayHaveBeenSent: boolean,
    message: string,
  ) {
    super({name: 'PeerCallError'}, '%s', message);
  }

  /**
   * Creates the error.
   *
   * @param mayHaveBeenSent - Whether the peer may have received the call.
   * @param message - Human-readable message.
   * @returns The error.
   * @example
   * throw PeerCallError.create(false, 'no link');
   */
  static create(mayHaveBeenSent: boolean, message: string): PeerCallError {
    return new PeerCallError(mayHaveBeenSent, message);
  }
}
