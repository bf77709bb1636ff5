import type {TargetReport} from './target_report.js';

/**
 * Whether a report comes neither from the address nor from the incarnation that
 * is known of its target.
 *
 * @description Another writer may use the id of a target. A target that was lost
 * and runs at another address looks the same, so only the known incarnation,
 * which still answers or doesn't, tells the two apart.
 * @param known - Address and time of birth of the known incarnation.
 * @param report - Report under the same id.
 * @returns Whether it does. Without a time of birth, the address decides.
 * @throws Never.
 * @example
 * isForeignReport(session.report, {...session.report, port: 9, bornMs: 20}); // true
 */
export function isForeignReport(
  known: Pick<TargetReport, 'host' | 'port' | 'bornMs'>,
  report: TargetReport,
): boolean {
  const isSameAddress =
    known.host === report.host && known.port === report.port;
  const isSameIncarnation =
    report.bornMs !== 0 && report.bornMs === known.bornMs;
  return !isSameAddress && !isSameIncarnation;
}
