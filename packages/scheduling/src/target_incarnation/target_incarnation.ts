import type {TargetReport} from '@papayarun/protocol';
import type {SendTime} from '../_lib/send_time.js';
import type {HoldResult} from '../target_port/hold_result.js';
import {incarnationOf} from './incarnation_of.js';

/** Answer of a target that lists its runs. */
type Held = Extract<HoldResult, {kind: 'held'}>;

/**
 * Latest report of a target, and the incarnation that is known of it.
 */
export class TargetIncarnation {
  /** Whether the target has answered a hold under this scheduler's token. */
  isConfirmed = false;
  /**
   * Whether the target's clock shows a restart that no list of runs has
   * confirmed yet.
   */
  isRestartSuspected = false;
  /**
   * Time of birth of the target's incarnation, by its reports or its answers;
   * 0 if none had it.
   */
  bornMs: number;
  private noticedRestarts = 0;
  /** Whether the report is that of an earlier incarnation. */
  private isReportOutdated = false;

  private constructor(private latest: TargetReport) {
    this.bornMs = latest.bornMs;
  }

  /**
   * Creates the record of a target that has not answered yet.
   *
   * @param report - Its latest report.
   * @returns The record.
   * @example
   * const incarnation = TargetIncarnation.create(report);
   */
  static create(report: TargetReport): TargetIncarnation {
    return new TargetIncarnation(report);
  }

  get report(): TargetReport {
    return this.latest;
  }

  /** Restarts of the target that were noticed. */
  get restarts(): number {
    return this.noticedRestarts;
  }

  /** Whether the current incarnation has answered and takes new runs. */
  get isReady(): boolean {
    return (
      this.isConfirmed &&
      !this.isReportOutdated &&
      this.latest.state === 'ready'
    );
  }

  /** Which incarnation of the target a report is of. */
  incarnationOf({bornMs}: TargetReport): ReturnType<typeof incarnationOf> {
    return incarnationOf(bornMs, {
      reportedMs: this.latest.bornMs,
      latestMs: this.bornMs,
    });
  }

  /**
   * Records a report of the same incarnation, unless it is out of date. A
   * departure bears the number of the last report that its receiver knew.
   */
  updateReport(report: TargetReport): void {
    if (report.state === 'gone' || report.sequence >= this.latest.sequence) {
      this.replaceReport(report);
    }
  }

  /** Records a report of the current incarnation. */
  replaceReport(report: TargetReport): void {
    this.latest = report;
    this.isReportOutdated = false;
  }

  /**
   * Continues with a new incarnation, which has not answered yet.
   *
   * @param bornMs - Time of birth of the new incarnation; 0 if unknown.
   */
  restart(bornMs: number): void {
    this.noticedRestarts++;
    this.bornMs = bornMs;
    if (this.latest.bornMs !== 0) {
      this.latest = {...this.latest, bornMs, sequence: 0};
      this.isReportOutdated = true;
    }
    this.isConfirmed = false;
    this.isRestartSuspected = false;
  }

  /** Records that a list of runs is of the current incarnation. */
  recordList({bornMs}: Held): void {
    this.bornMs = bornMs ?? this.bornMs;
    this.isRestartSuspected = false;
  }

  /** Whether a list of runs is that of an incarnation before the current one. */
  isOfEarlierIncarnation({bornMs}: Held, sent: SendTime): boolean {
    return bornMs === undefined
      ? sent.restarts !== this.noticedRestarts
      : bornMs < this.bornMs;
  }

  /**
   * Whether a list of runs is that of a new incarnation. Without two times of
   * birth, the target's clock decides.
   *
   * @param list - The list.
   * @param isClockRestarted - Whether the time in the list can't be of the clock
   *   known so far.
   */
  showsRestart({bornMs}: Held, isClockRestarted: () => boolean): boolean {
    if (bornMs !== undefined && this.bornMs !== 0) {
      return bornMs > this.bornMs;
    }
    return this.isRestartSuspected || isClockRestarted();
  }
}
