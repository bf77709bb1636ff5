/**
 * Whether a request was executed by a target.
 *
 * @description Present on every answer, refusal and error.
 * - `notRun`: no byte of the request can have reached a target, or the target
 *   reported that it did not run it.
 * - `mayHaveRun`: it can no longer be determined whether the request ran.
 * - `ran`: a target ran the request and its complete answer was received.
 */
export type Verdict =
  | {readonly kind: 'notRun'; readonly retryAfterMs?: number}
  | {readonly kind: 'mayHaveRun'}
  | {readonly kind: 'ran'};
