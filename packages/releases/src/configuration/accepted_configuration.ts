/**
 * A whole configuration, as the operator gave it.
 */
export interface AcceptedConfiguration {
  /** Chosen by the operator; the highest one is in force. */
  readonly revision: number;
  /** Opaque to the log; checked before it is proposed. */
  readonly content: unknown;
}
