/**
 * Limit of unfinished requests that was reached.
 */
export type LimitKind =
  /** A body was refused, since there was no memory for it. */
  | 'bodyRefused'
  /** A body was given up, since its memory or connection was needed. */
  | 'bodyEvicted'
  /** A body was given up, since it came too slowly. */
  | 'bodyTooSlow'
  /** A body was given up, since too many came in tiny pieces. */
  | 'bodyFragmented'
  /** A connection was closed, whose client did not read an answer. */
  | 'answerUnread'
  /** An answer to a read was replaced by a refusal, since there was no memory for it. */
  | 'answerRefused'
  /** A connection was closed that had too many requests at once. */
  | 'requestsPipelined'
  /** A connection without a whole request was closed for a new one. */
  | 'connectionEvicted'
  /** A new connection was closed, since there were too many. */
  | 'connectionDropped'
  /** A connection to the peer port was closed for a new one, or sent too much. */
  | 'peerRefused';
