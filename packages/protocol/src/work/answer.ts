/**
 * Complete answer of a target.
 */
export interface Answer {
  /** HTTP status code. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Release in force at the instance that sent the work to the target. */
  readonly release: number;
}
