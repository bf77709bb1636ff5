/**
 * Thrown for invalid arguments; printed without a stack trace, with exit code 2.
 */
export class UsageError extends Error {
  static create(message: string): UsageError {
    return new UsageError(message);
  }
}
