import type {Refusal} from '../refusal/refusal.js';

/** First version that understands the code `answerGone`. */
const ANSWER_GONE_VERSION = 2;

/**
 * Translates a refusal for an instance that may be of an earlier version.
 *
 * @description Earlier versions know no HTTP status for a newer code.
 * @param refusal - The refusal.
 * @param version - Version of refusals that the receiver has named; undefined
 *   if it named none.
 * @returns A refusal that the receiver understands and that claims no more than
 *   the given one.
 * @throws Never.
 * @example
 * refusalForVersion(answerGone, undefined).code; // 'ownerLost'
 */
export function refusalForVersion(
  refusal: Refusal,
  version: number | undefined,
): Refusal {
  if (refusal.code !== 'answerGone' || (version ?? 1) >= ANSWER_GONE_VERSION) {
    return refusal;
  }
  return {...refusal, code: 'ownerLost', verdict: {kind: 'mayHaveRun'}};
}
