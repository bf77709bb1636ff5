/**
 * A whole configuration as sent by an operator.
 */
export interface AcceptedConfiguration {
  /** Revision chosen by the operator; the highest revision is in force. */
  readonly revision: number;
  /** Content, opaque to the log; it is validated before it is proposed. */
  readonly content: unknown;
}
