import type {TargetId, TargetReport} from '@papayarun/protocol';
import {isForeignReport} from '@papayarun/protocol';
import type {TargetSession} from './target_session.js';
import type {TargetSessionHost} from './target_session_host.js';

/**
 * Questions that a target has to leave unanswered until a report from elsewhere
 * is believed. A single answer may get lost.
 */
const QUESTIONS = 2;

/**
 * Reports that name another address and another time of birth than those of the
 * session with their target.
 *
 * @description Another writer may use the id of a target that is up, and what the
 * report says of a restart would lose the runs of that target. So such a report
 * counts only if the known incarnation no longer answers.
 */
export class DoubtedReports {
  /** Latest doubted report of each target that is being asked. */
  private readonly pending = new Map<TargetId, TargetReport>();

  private constructor() {}

  /**
   * Creates an empty record.
   *
   * @returns The record.
   * @example
   * const doubtedReports = DoubtedReports.create();
   */
  static create(): DoubtedReports {
    return new DoubtedReports();
  }

  /** Whether a report has to be checked before the session may follow it. */
  isDoubted(session: TargetSession, report: TargetReport): boolean {
    const {host, port} = session.report;
    return isForeignReport({host, port, bornMs: session.bornMs}, report);
  }

  /**
   * Has the session continue at the address of a report, at once if its target is
   * silent, otherwise when the target has left all questions unanswered.
   *
   * @param session - Session with the target.
   * @param report - The doubted report.
   * @param host - Host of the session.
   * @returns Whether the session follows the report already.
   * @throws Never.
   */
  check(
    session: TargetSession,
    report: TargetReport,
    host: Pick<TargetSessionHost, 'log' | 'onChange'>,
  ): boolean {
    const {targetId} = report;
    if (report.state === 'gone') {
      this.pending.delete(targetId);
      return false;
    }
    if (session.silentSinceMs !== undefined) {
      this.follow(session, report, host);
      return true;
    }
    const isAsking = this.pending.has(targetId);
    this.pending.set(targetId, report);
    if (!isAsking) {
      void this.ask(session, targetId, host);
    }
    return false;
  }

  private async ask(
    session: TargetSession,
    targetId: TargetId,
    host: Pick<TargetSessionHost, 'log' | 'onChange'>,
  ): Promise<void> {
    const isAnswering = await isAnswered(session);
    const report = this.pending.get(targetId);
    this.pending.delete(targetId);
    if (!report || !this.isDoubted(session, report)) {
      return;
    }
    if (isAnswering) {
      logDoubt(session, report, host, false);
    } else {
      this.follow(session, report, host);
    }
  }

  private follow(
    session: TargetSession,
    report: TargetReport,
    host: Pick<TargetSessionHost, 'log' | 'onChange'>,
  ): void {
    logDoubt(session, report, host, true);
    session.acceptRestart(report);
    host.onChange();
  }
}

/** Whether the target answers, or the session has been closed meanwhile. */
async function isAnswered(session: TargetSession): Promise<boolean> {
  for (let n = 0; n < QUESTIONS; n++) {
    if (await session.refreshRuns()) {
      return true;
    }
    if (session.silentSinceMs !== undefined) {
      return false;
    }
  }
  return false;
}

function logDoubt(
  {report: known}: TargetSession,
  report: TargetReport,
  {log}: Pick<TargetSessionHost, 'log'>,
  isBelieved: boolean,
): void {
  log.emit('targetReportDoubted', {
    target: report.targetId,
    address: `${report.host}:${report.port}`,
    bornMs: report.bornMs,
    knownAddress: `${known.host}:${known.port}`,
    knownBornMs: known.bornMs,
    isBelieved,
  });
}
