import {isDeepStrictEqual} from 'node:util';
import type {ShardId, TargetId, TargetReport} from '@papayarun/protocol';
import {isForeignReport, shardIdOf} from '@papayarun/protocol';
import type {TargetDirectoryOptions} from './target_directory_options.js';

/** Time after which the report of a silent target expires, in milliseconds. */
const REPORT_TTL_MS = 15_000;
/** Timeout of forwarding a report to a scheduler, in milliseconds. */
const FORWARD_TIMEOUT_MS = 700;

/**
 * Interval at which a report without changes is forwarded, in milliseconds; less
 * than half of the time after which a scheduler removes a silent target.
 */
const FORWARD_INTERVAL_MS = 4_000;

/** Report that a scheduler has accepted. */
interface ForwardedReport {
  /** Fencing token of the scheduler's grant. */
  readonly token: number;
  readonly report: TargetReport;
  readonly atMs: number;
}

interface ReceivedReport {
  readonly report: TargetReport;
  readonly receivedMs: number;
}

/**
 * Keeps the latest report of each target and forwards it to its scheduler.
 *
 * @description A report from another address and incarnation than the known one
 * may be that of a target that has moved, or of another writer. Only the
 * scheduler can ask the known one, so until it has decided both are listed and
 * forwarded.
 */
export class TargetDirectory {
  private readonly reports = new Map<TargetId, ReceivedReport>();
  /** Latest report of each target from elsewhere than the known one. */
  private readonly foreignReports = new Map<TargetId, ReceivedReport>();
  /** Last report of each target that its scheduler has accepted. */
  private readonly forwarded = new Map<TargetId, ForwardedReport>();

  private constructor(private readonly opts: TargetDirectoryOptions) {}

  /**
   * Creates an empty directory and serves `listTargets` calls of schedulers.
   *
   * @param opts - Network, clock, log and scheduler lookup.
   * @returns The directory.
   * @example
   * const directory = TargetDirectory.create(opts);
   */
  static create(opts: TargetDirectoryOptions): TargetDirectory {
    const directory = new TargetDirectory(opts);
    opts.network.onCall('listTargets', (_from, {dataCentre, shard}) =>
      Promise.resolve({
        reports: directory.reportsIn(shard ?? shardIdOf(dataCentre, 0)),
      }),
    );
    return directory;
  }

  get size(): number {
    return this.reports.size;
  }

  /** Latest report of a target, if one is stored. */
  latestReport(targetId: TargetId): TargetReport | undefined {
    return this.reports.get(targetId)?.report;
  }

  /**
   * Stores a report and forwards it to the scheduler of the target's shard.
   *
   * @param report - Report of a target.
   * @returns Whether the report may be acknowledged. A leaving target gets the
   *   acknowledgement only when its scheduler, if there is one, has accepted the
   *   report and sends it no more tasks.
   */
  async accept(report: TargetReport): Promise<boolean> {
    const latestReport = this.reports.get(report.targetId)?.report;
    if (latestReport && this.isUndecided(latestReport, report)) {
      return this.acceptForeign(latestReport, report);
    }
    if (latestReport && isNewer(latestReport, report)) {
      return true;
    }
    const receivedMs = this.opts.clock.now();
    this.reports.set(report.targetId, {report, receivedMs});
    const shard = this.opts.shardOf(report.targetId, report.dataCentre);
    if (shard === undefined) {
      return this.acceptWithoutShard(report);
    }
    if (report.state === 'ready' && this.isKnown(shard, report, receivedMs)) {
      return true;
    }
    const forwarded = this.forward(shard, report);
    return report.state === 'ready' ? true : forwarded;
  }

  /**
   * Records that a target has left, whichever of its reports is that of the
   * target; the request names only its id.
   *
   * @param targetId - The target.
   */
  async deregister(targetId: TargetId): Promise<void> {
    const reports = [this.foreignReports, this.reports].flatMap(
      map => map.get(targetId)?.report ?? [],
    );
    // In this order: a scheduler without a session with the target would bar
    // the incarnation of the other report.
    for (const report of reports) {
      await this.accept({...report, state: 'gone'});
    }
  }

  /** Forwards the latest reports of a target to the scheduler of its new shard. */
  handleAssigned(targetId: TargetId, shard: ShardId): void {
    for (const map of [this.reports, this.foreignReports]) {
      const received = map.get(targetId);
      if (received) {
        void this.forward(shard, received.report);
      }
    }
  }

  /**
   * Removes the expired reports of silent targets. A report from elsewhere takes
   * the place of one that has expired.
   */
  sweep(): void {
    const nowMs = this.opts.clock.now();
    const isExpired = ({receivedMs}: ReceivedReport): boolean =>
      nowMs - receivedMs > REPORT_TTL_MS;
    for (const [id, received] of this.foreignReports) {
      if (isExpired(received)) {
        this.foreignReports.delete(id);
      }
    }
    for (const [id, received] of this.reports) {
      if (isExpired(received)) {
        this.reports.delete(id);
        this.forwarded.delete(id);
        const other = this.foreignReports.get(id);
        if (other) {
          this.foreignReports.delete(id);
          this.reports.set(id, other);
        }
      }
    }
  }

  /**
   * Whether a report may be that of another writer. After a departure, the time
   * of birth alone decides.
   */
  private isUndecided(known: TargetReport, report: TargetReport): boolean {
    return known.state !== 'gone' && isForeignReport(known, report);
  }

  /**
   * Stores and forwards a report from elsewhere than the known one, which is
   * replaced only if the scheduler follows the report.
   */
  private async acceptForeign(
    known: TargetReport,
    report: TargetReport,
  ): Promise<boolean> {
    const {targetId} = report;
    const previous = this.foreignReports.get(targetId)?.report;
    if (
      previous &&
      !isForeignReport(previous, report) &&
      isNewer(previous, report)
    ) {
      return true;
    }
    if (report.state === 'gone') {
      this.foreignReports.delete(targetId);
    } else {
      const receivedMs = this.opts.clock.now();
      this.foreignReports.set(targetId, {report, receivedMs});
    }
    const shard = this.opts.shardOf(targetId, report.dataCentre);
    if (shard === undefined) {
      return this.acceptWithoutShard(report);
    }
    const forwarded = this.forwardForeign(shard, known, report);
    return report.state === 'ready' ? true : forwarded;
  }

  private async forwardForeign(
    shard: ShardId,
    known: TargetReport,
    report: TargetReport,
  ): Promise<boolean> {
    // Without a scheduler, nobody has asked the known target.
    const isAsked = this.opts.grantOf(shard) !== undefined;
    const isAccepted = await this.forward(shard, report);
    const foreign = this.foreignReports.get(report.targetId);
    // A scheduler of an earlier version accepts outdated reports as well.
    const isMove =
      isAsked && report.bornMs > known.bornMs && foreign?.report === report;
    if (isAccepted && isMove) {
      this.foreignReports.delete(report.targetId);
      this.reports.set(report.targetId, foreign);
    }
    return isAccepted;
  }

  private acceptWithoutShard(report: TargetReport): Promise<boolean> {
    // No scheduler uses the target yet, but one of an earlier version may.
    return report.state === 'ready'
      ? Promise.resolve(true)
      : this.forward(shardIdOf(report.dataCentre, 0), report);
  }

  private reportsIn(shard: ShardId): TargetReport[] {
    return [...this.reports.values(), ...this.foreignReports.values()]
      .map(({report}) => report)
      .filter(
        ({targetId, dataCentre}) =>
          this.opts.shardOf(targetId, dataCentre) === shard,
      );
  }

  /**
   * Whether the scheduler of a shard has accepted an equal report a short time
   * ago.
   */
  private isKnown(
    shard: ShardId,
    report: TargetReport,
    nowMs: number,
  ): boolean {
    const last = this.forwarded.get(report.targetId);
    return (
      last !== undefined &&
      nowMs - last.atMs < FORWARD_INTERVAL_MS &&
      last.token === this.opts.grantOf(shard)?.token &&
      isDeepStrictEqual({...last.report, sequence: 0}, {...report, sequence: 0})
    );
  }

  private async forward(
    shard: ShardId,
    report: TargetReport,
  ): Promise<boolean> {
    const grant = this.opts.grantOf(shard);
    if (!grant) {
      return true;
    }
    const {instanceId: to, token} = grant;
    const req = {report, shard};
    const opts = {timeoutMs: FORWARD_TIMEOUT_MS};
    try {
      const {network} = this.opts;
      const {accepted} = await network.call(to, 'reportTarget', req, opts);
      if (accepted) {
        const atMs = this.opts.clock.now();
        this.forwarded.set(report.targetId, {token, report, atMs});
      }
      return accepted;
    } catch (err) {
      if (report.state !== 'ready') {
        this.opts.log.emit('reportNotPassedOn', {
          target: report.targetId,
          to,
          state: report.state,
          err: (err as Error).message,
        });
      }
      return false;
    }
  }
}

/** Whether a report is of a later incarnation, of a departure, or sent later. */
function isNewer(a: TargetReport, b: TargetReport): boolean {
  if (a.bornMs !== b.bornMs) {
    return a.bornMs > b.bornMs;
  }
  // Without a time of birth, another incarnation may use the same id.
  const hasLeft = a.state === 'gone' && a.bornMs > 0;
  return hasLeft || a.sequence > b.sequence;
}
