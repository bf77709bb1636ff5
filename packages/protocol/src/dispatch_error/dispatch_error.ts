import VError from 'verror';
import type {Refusal} from '../refusal/refusal.js';
import type {RefusalCode} from '../refusal/refusal_code.js';
import type {Verdict} from '../verdict/verdict.js';

/**
 * Error that carries a refusal with its verdict.
 */
export class DispatchError extends VError {
  private constructor(
    readonly refusal: Refusal,
    cause?: Error,
  ) {
    super({name: 'DispatchError', cause}, '%s', refusal.message);
  }

  /**
   * Makes an error for a request that has not run.
   *
   * @param code - Reason.
   * @param message - Text for people.
   * @param extra - Field at fault, retry hint and cause, where known.
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
   * Makes an error for a request that may have run.
   *
   * @param code - Reason.
   * @param message - Text for people.
   * @param cause - Error behind it, if there is one.
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
   * Wraps a refusal that came from elsewhere.
   *
   * @param refusal - The refusal.
   * @returns The error.
   * @example
   * throw DispatchError.create(reply.refusal);
   */
  static create(refusal: Refusal): DispatchError {
    return new DispatchError(refusal);
  }
}
