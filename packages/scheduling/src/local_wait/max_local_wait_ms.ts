/** Wait that is never worth a question to other schedulers, in milliseconds. */
const MIN_LIMIT_MS = 5;
/** Share of a job's slack that it may wait before other schedulers are asked. */
const SLACK_SHARE = 0.15;

/**
 * Longest wait for a slot before other schedulers are asked for a quote.
 *
 * @description Load pattern: at the usual load a job often finds no slot free at
 * once, but one within a few milliseconds. A job that can afford the wait stays:
 * each question costs all schedulers that are asked a forecast, and a job that is
 * split costs each of them a part.
 * @param slackMs - Time left until the objective beyond the critical path, in
 *   milliseconds.
 * @returns The wait in milliseconds.
 * @throws Never.
 * @example
 * maxLocalWaitMs(600); // 90
 */
export function maxLocalWaitMs(slackMs: number): number {
  return Math.max(MIN_LIMIT_MS, SLACK_SHARE * slackMs);
}
