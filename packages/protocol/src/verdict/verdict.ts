/**
 * Says whether a request may have run.
 *
 * @description Present on every answer, refusal and error.
 * - `notRun`: no byte of it can have reached a target, or the target said so.
 * - `mayHaveRun`: nobody can tell any more.
 * - `ran`: a target ran it and its whole answer was received.
 */
export type Verdict =
  | {readonly kind: 'notRun'; readonly retryAfterMs?: number}
  | {readonly kind: 'mayHaveRun'}
  | {readonly kind: 'ran'};
