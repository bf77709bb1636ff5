/**
 * Whole answer of a target.
 */
export interface Answer {
  /** HTTP status. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Release that was in force at the instance that sent the work. */
  readonly release: number;
}
