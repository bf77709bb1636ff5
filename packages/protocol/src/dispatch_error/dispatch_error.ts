import VError from 'verror';
import type {Refusal} from '../refusal/refusal.js';
import type {RefusalCode} from '../refusal/refusal_code.js';
import type {Verdict} from '../verdict/verdict.js';

/**
 * Error that carries a refusal and its verdict.
 */
export class DispatchError extends VError {
  private constructor(
    readonly refusal: Refusal,
    cause?: Error,
  ) {
    super({name: 'DispatchError', cause}, '%s', refusal.message);
  }

  /**
   * Creates an error for a request that has not run.
   *
   * @param code - Machine-readable reason.
   * @param message - Human-readable message.
   * @param extra - Invalid field, retry delay and underlying error, if known.
   * @returns The error.
   * @example
   * throw DispatchError.notRun('queueFull', 'queue is full');
   */
  static notRun(
    code: RefusalCode,
    message: string,
    extra: {field?: string; retryAfterMs?: number; cause?: Error} = {},
  ): DispatchError {
    const verdict: Verdict = {kind: 'notRun', retryAfterMs: extra.retryAfterMs};
    return new DispatchError(
      {verdict, code, message, field: extra.field},
      extra.cause,
    );
  }

  /**
   * Creates an error for a request that may have run.
   *
   * @param code - Machine-readable reason.
   * @param message - Human-readable message.
   * @param cause - Underlying error, if any.
   * @returns The error.
   * @example
   * throw DispatchError.mayHaveRun('truncatedAnswer', 'answer was cut');
   */
  static mayHaveRun(
    code: RefusalCode,
    message: string,
    cause?: Error,
  ): DispatchError {
    return new DispatchError(
      {verdict: {kind: 'mayHaveRun'}, code, message},
      cause,
    );
  }

  /**
   * Creates an error for a request that has run, but whose answer can't be
   * given.
   *
   * @param code - Machine-readable reason.
   * @param message - Human-readable message.
   * @returns The error.
   * @example
   * throw DispatchError.ran('answerGone', 'the answer is no longer stored');
   */
  static ran(code: RefusalCode, message: string): DispatchError {
    return new DispatchError({verdict: {kind: 'ran'}, code, message});
  }

  /**
   * Creates an error from a refusal, such as one received from a peer.
   *
   * @param refusal - The refusal.
   * @returns The error.
   * @example
   * throw DispatchError.fromRefusal(reply.refusal);
   */
  static fromRefusal(refusal: Refusal): DispatchError {
    return new DispatchError(refusal);
  }
}
