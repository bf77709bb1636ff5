import type {TargetId, TargetReport} from '@papayarun/protocol';
import {SimulatedScheduler} from './simulated_scheduler.js';
import type {TargetSimulation} from './target_simulation.js';

/** Time from the crash of a target until another one replaces it. */
const REPLACEMENT_MS = 1_000;
/** Period of the reports of the targets, in milliseconds. */
const REPORT_PERIOD_MS = 1_000;

/**
 * Data centre with targets of its own and one scheduler at a time.
 */
export class SimulatedDataCentre {
  readonly targetIds: TargetId[] = [];
  scheduler: SimulatedScheduler;
  /** Latest report of each target. */
  private readonly reports = new Map<TargetId, TargetReport>();
  /** Restarted targets whose first report is due. */
  private readonly unreported = new Set<TargetId>();
  private token = 1;

  constructor(
    private readonly simulation: TargetSimulation,
    targets: number,
  ) {
    this.scheduler = new SimulatedScheduler(simulation, this.token, false);
    for (let n = 0; n < targets; n++) {
      this.addTarget();
    }
    void this.reportTargets();
  }

  /** Ends the scheduler, which passes its jobs on to a successor. */
  async handOver(gapMs: number): Promise<void> {
    this.scheduler.scheduler.end();
    await this.startSuccessor(gapMs, true);
  }

  /**
   * Starts a successor beside the scheduler, which notices it by a target or ends
   * later.
   */
  async replace(
    endsAfterMs: number,
    isDeaf: boolean,
    unreachable: TargetId | undefined,
  ): Promise<void> {
    const former = this.scheduler;
    former.setDeaf(isDeaf);
    await this.startSuccessor(0, true, unreachable);
    const successor = this.scheduler;
    await this.simulation.clock.sleep(endsAfterMs);
    if (unreachable !== undefined) {
      successor.setUnreachable(unreachable, false);
    }
    former.setDeaf(false);
    former.scheduler.end();
  }

  /** Kills the scheduler, and starts a successor after some time. */
  async kill(gapMs: number): Promise<void> {
    this.scheduler.kill();
    await this.startSuccessor(gapMs, false);
  }

  /** Crashes a target for good, and adds another one later. */
  async crash(targetId: TargetId): Promise<void> {
    const {clock, faults, targets} = this.simulation;
    if (!faults.crashed.has(targetId)) {
      targets.get(targetId)!.crash();
      faults.crashed.add(targetId);
      await clock.sleep(REPLACEMENT_MS);
      this.addTarget();
    }
  }

  /** Restarts a target, which reports itself later. */
  async restart(targetId: TargetId, reportAfterMs: number): Promise<void> {
    const {clock, faults} = this.simulation;
    if (faults.crashed.has(targetId)) {
      return;
    }
    const report = this.simulation.restartTarget(targetId);
    this.unreported.add(targetId);
    await clock.sleep(reportAfterMs);
    if (report.bornMs > this.reports.get(targetId)!.bornMs) {
      this.reports.set(targetId, report);
      this.unreported.delete(targetId);
      this.scheduler.acceptReport(report);
    }
  }

  private async startSuccessor(
    gapMs: number,
    isFormerActive: boolean,
    unreachable?: TargetId,
  ): Promise<void> {
    const token = ++this.token;
    await this.simulation.clock.sleep(gapMs);
    // Another end of the scheduler may have been followed by a later grant.
    if (token === this.token) {
      this.scheduler = new SimulatedScheduler(
        this.simulation,
        token,
        isFormerActive,
      );
      if (unreachable !== undefined) {
        this.scheduler.setUnreachable(unreachable, true);
      }
      this.reportAll();
    }
  }

  private addTarget(): void {
    const report = this.simulation.addTarget();
    this.targetIds.push(report.targetId);
    this.reports.set(report.targetId, report);
    this.scheduler.acceptReport(report);
  }

  private async reportTargets(): Promise<void> {
    for (;;) {
      await this.simulation.clock.sleep(REPORT_PERIOD_MS);
      this.reportAll();
    }
  }

  private reportAll(): void {
    for (const [targetId, report] of this.reports) {
      const isDown = this.simulation.faults.crashed.has(targetId);
      if (!isDown && !this.unreported.has(targetId)) {
        this.scheduler.acceptReport(report);
      }
    }
  }
}
