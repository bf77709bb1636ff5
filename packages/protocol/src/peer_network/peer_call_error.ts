import VError from 'verror';

/**
 * A call to another instance that brought no response.
 */
export class PeerCallError extends VError {
  private constructor(
    /** False when no byte of the call can have left this process. */
    readonly maybeSent: boolean,
    message: string,
  ) {
    super({name: 'PeerCallError'}, '%s', message);
  }

  /**
   * Makes the error.
   *
   * @param maybeSent - Whether the peer may have received the call.
   * @param message - Text for people.
   * @returns The error.
   * @example
   * throw PeerCallError.create(false, 'no link');
   */
  static create(maybeSent: boolean, message: string): PeerCallError {
    return new PeerCallError(maybeSent, message);
  }
}
