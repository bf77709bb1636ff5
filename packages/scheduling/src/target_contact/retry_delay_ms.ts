/**
 * Delay before an order is repeated, in milliseconds. The first retry of an
 * unanswered hold is sent without delay.
 */
const RETRY_DELAY_MS = 100;
/**
 * Longest delay between holds to an unresponsive target without runs, in
 * milliseconds.
 */
const MAX_RETRY_DELAY_MS = 1_600;

/**
 * Delay before an unanswered hold is repeated.
 *
 * @description A target with runs is asked often, since they count as ended
 * when its lease has expired; an idle one less and less often.
 * @param failures - Unanswered holds since the last answer.
 * @param hasRuns - Whether runs are ordered on the target.
 * @returns Milliseconds.
 * @throws Never.
 * @example
 * retryDelayMs(3, false); // 800
 */
export function retryDelayMs(failures: number, hasRuns: boolean): number {
  if (failures === 1) {
    return 0;
  }
  return hasRuns
    ? RETRY_DELAY_MS
    : Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** Math.min(failures, 8));
}
