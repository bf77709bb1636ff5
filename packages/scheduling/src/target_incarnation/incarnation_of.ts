/** Times of birth that are known of a target. */
interface KnownBirth {
  /** Time of birth in the report in use; 0 if it has none. */
  readonly reportedMs: number;
  /** Latest one by the reports or the answers of the target; 0 if none had it. */
  readonly latestMs: number;
}

/**
 * Which incarnation of a target a report is of.
 *
 * @description Without two times of birth the report counts as the current one,
 * and a restart shows in the lists of runs.
 * @param bornMs - Time of birth in the report; 0 if it has none.
 * @param known - What is known of the target.
 * @returns Whether it is of the known incarnation, an earlier or a later one.
 * @throws Never.
 * @example
 * incarnationOf(7, {reportedMs: 5, latestMs: 5}); // 'later'
 */
export function incarnationOf(
  bornMs: number,
  {reportedMs, latestMs}: KnownBirth,
): 'earlier' | 'current' | 'later' {
  if (bornMs === 0) {
    return reportedMs === 0 ? 'current' : 'earlier';
  }
  if (latestMs === 0 || bornMs === latestMs) {
    return 'current';
  }
  return bornMs > latestMs ? 'later' : 'earlier';
}
