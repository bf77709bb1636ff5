import type {ShardId, TargetId, TargetReport} from '@papayarun/protocol';
import {shardIdOf} from '@papayarun/protocol';
import type {TargetDirectoryOptions} from './target_directory_options.js';

/** Time after which the report of a silent target expires, in milliseconds. */
const REPORT_TTL_MS = 15_000;
/** Timeout of forwarding a report to a scheduler, in milliseconds. */
const FORWARD_TIMEOUT_MS = 700;

/**
 * Keeps the latest report of each target and forwards it to its scheduler.
 */
export class TargetDirectory {
  private readonly reports = new Map<
    TargetId,
    {readonly report: TargetReport; readonly receivedMs: number}
  >();

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
    if (latestReport && isNewer(latestReport, report)) {
      return true;
    }
    const receivedMs = this.opts.clock.now();
    this.reports.set(report.targetId, {report, receivedMs});
    const shard = this.opts.shardOf(report.targetId, report.dataCentre);
    if (shard === undefined) {
      // No scheduler uses the target yet.
      return true;
    }
    const forwarded = this.forward(shard, report);
    return report.state === 'ready' ? true : forwarded;
  }

  /** Forwards the latest report of a target to the scheduler of its new shard. */
  handleAssigned(targetId: TargetId, shard: ShardId): void {
    const report = this.latestReport(targetId);
    if (report) {
      void this.forward(shard, report);
    }
  }

  /** Removes the expired reports of silent targets. */
  sweep(): void {
    const nowMs = this.opts.clock.now();
    for (const [id, {receivedMs}] of this.reports) {
      if (nowMs - receivedMs > REPORT_TTL_MS) {
        this.reports.delete(id);
      }
    }
  }

  private reportsIn(shard: ShardId): TargetReport[] {
    return [...this.reports.values()]
      .map(({report}) => report)
      .filter(
        ({targetId, dataCentre}) =>
          this.opts.shardOf(targetId, dataCentre) === shard,
      );
  }

  private async forward(
    shard: ShardId,
    report: TargetReport,
  ): Promise<boolean> {
    const to = this.opts.schedulerOf(shard);
    if (to === undefined) {
      return true;
    }
    const req = {report, shard};
    const opts = {timeoutMs: FORWARD_TIMEOUT_MS};
    try {
      const {network} = this.opts;
      return (await network.call(to, 'reportTarget', req, opts)).accepted;
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

function isNewer(a: TargetReport, b: TargetReport): boolean {
  return a.bornMs === b.bornMs ? a.sequence > b.sequence : a.bornMs > b.bornMs;
}
