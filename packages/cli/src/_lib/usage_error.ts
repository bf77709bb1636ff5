/**
 * Wrong arguments: shown without a stack, exit code 2.
 */
export class UsageError extends Error {
  static create(message: string): UsageError {
    return new UsageError(message);
  }
}
