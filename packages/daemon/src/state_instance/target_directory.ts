import type {
  DataCentreId,
  InstanceId,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import type {TargetDirectoryOptions} from './target_directory_options.js';

/** Time after which a silent target's report is forgotten, in ms. */
const FORGET_MS = 15_000;
/** Time for a scheduler to take note of a report, in milliseconds. */
const FORWARD_TIMEOUT_MS = 700;

/**
 * Latest reports of targets, passed on to their schedulers.
 */
export class TargetDirectory {
  private readonly reports = new Map<
    TargetId,
    {readonly report: TargetReport; readonly heardMs: number}
  >();

  private constructor(private readonly opts: TargetDirectoryOptions) {}

  /**
   * Makes an empty directory and answers what schedulers ask of it.
   *
   * @param opts - Network, clock and grants.
   * @returns The directory.
   * @example
   * const directory = TargetDirectory.create(opts);
   */
  static create(opts: TargetDirectoryOptions): TargetDirectory {
    const directory = new TargetDirectory(opts);
    opts.network.onCall('listTargets', (_from, {dataCentre}) =>
      Promise.resolve({reports: directory.of(dataCentre)}),
    );
    return directory;
  }

  get size(): number {
    return this.reports.size;
  }

  /** Latest report of a target, if one is held. */
  latest(targetId: TargetId): TargetReport | undefined {
    return this.reports.get(targetId)?.report;
  }

  /**
   * Takes a report and passes it on.
   *
   * @param report - What a target says of itself.
   * @returns Whether it may be acknowledged: a target that leaves is told so
   *   only when its scheduler, if there is one, sends it nothing more.
   */
  async accept(report: TargetReport): Promise<boolean> {
    const held = this.reports.get(report.targetId)?.report;
    if (held && isNewer(held, report)) {
      return true;
    }
    const heardMs = this.opts.clock.now();
    this.reports.set(report.targetId, {report, heardMs});
    const to = this.opts.schedulerOf(report.dataCentre);
    if (to === undefined) {
      return true;
    }
    const forwarded = this.forward(to, report);
    return report.state === 'ready' ? true : forwarded;
  }

  /** Drops the reports of targets that have gone silent. */
  sweep(): void {
    const nowMs = this.opts.clock.now();
    for (const [id, {heardMs}] of this.reports) {
      if (nowMs - heardMs > FORGET_MS) {
        this.reports.delete(id);
      }
    }
  }

  private of(dataCentre: DataCentreId): TargetReport[] {
    return [...this.reports.values()]
      .map(({report}) => report)
      .filter(report => report.dataCentre === dataCentre);
  }

  private async forward(
    to: InstanceId,
    report: TargetReport,
  ): Promise<boolean> {
    const opts = {timeoutMs: FORWARD_TIMEOUT_MS};
    try {
      const {network} = this.opts;
      return (await network.call(to, 'reportTarget', {report}, opts)).accepted;
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
