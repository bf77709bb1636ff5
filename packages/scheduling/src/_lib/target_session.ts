import type {Resources, TargetReport, TaskId} from '@papayarun/protocol';
import {RunOrders} from '../run_orders/run_orders.js';
import {TargetCondition} from '../target_condition/target_condition.js';
import {TargetContact} from '../target_contact/target_contact.js';
import type {TargetHealth} from '../target_health/target_health.js';
import {TargetHolds} from '../target_holds/target_holds.js';
import {TargetIncarnation} from '../target_incarnation/target_incarnation.js';
import {TargetLease} from '../target_lease/target_lease.js';
import type {TargetEndpoint} from '../target_port/target_endpoint.js';
import {TargetRuns} from '../target_runs/target_runs.js';
import type {RunRecord} from './run_record.js';
import type {TargetLoss} from './target_loss.js';
import type {TargetSessionHost} from './target_session_host.js';
import type {UnclaimedRuns} from './unclaimed_runs.js';

/**
 * Session of the scheduler with a target.
 *
 * @description Sends all orders to the target, renews its lease, and tracks its
 * runs, health, slowness and clock; each of these has an own part. It lasts when
 * the target restarts: an order that was sent before the restart was noticed may
 * be with the new incarnation, so only the runs that the earlier one has listed
 * are lost at once.
 */
export class TargetSession<R extends RunRecord = RunRecord> {
  /** Runs that are ordered and not known to have ended. */
  readonly runs: ReadonlyMap<TaskId, R>;
  private readonly incarnation: TargetIncarnation;
  private readonly contact: TargetContact;
  private readonly condition: TargetCondition;
  private readonly lease: TargetLease;
  private readonly targetRuns: TargetRuns<R>;
  private readonly holds: TargetHolds<R>;
  private readonly orders: RunOrders<R>;
  private hasBeenReleased = false;
  /** Whether a hold is on its way to read the clock. */
  private isReadingClock = false;

  private constructor(
    private readonly host: TargetSessionHost<R>,
    report: TargetReport,
  ) {
    const incarnation = TargetIncarnation.create(report);
    const contact = TargetContact.create(host.clock);
    const condition = TargetCondition.create(host, report.targetId);
    const runs = TargetRuns.create(host, incarnation, contact);
    const lease = TargetLease.create(host, runs.byTask);
    const parts = {
      incarnation,
      contact,
      condition,
      lease,
      runs,
      onFenced: () => host.onFenced(this),
    };
    this.runs = runs.byTask;
    this.incarnation = incarnation;
    this.contact = contact;
    this.condition = condition;
    this.lease = lease;
    this.targetRuns = runs;
    this.holds = TargetHolds.create(host, parts);
    this.orders = RunOrders.create(host, {...parts, holds: this.holds});
  }

  /**
   * Opens a session with a target.
   *
   * @param host - The scheduler.
   * @param report - Latest report of the target.
   * @returns The session, which first asks the target for its runs.
   * @example
   * const session = TargetSession.create(host, report);
   */
  static create<R extends RunRecord>(
    host: TargetSessionHost<R>,
    report: TargetReport,
  ): TargetSession<R> {
    const session = new TargetSession(host, report);
    void session.holds.holdLoop();
    return session;
  }

  /** Latest report of the target. */
  get report(): TargetReport {
    return this.incarnation.report;
  }

  get endpoint(): TargetEndpoint {
    return this.incarnation.report;
  }

  get health(): TargetHealth {
    return this.condition.health;
  }

  /** Factor of the run times on this target over those on a usual one. */
  get slowness(): number {
    return this.condition.slowness;
  }

  /** Monotonic time at which a run last completed, in milliseconds. */
  get lastDoneMs(): number {
    return this.condition.lastDoneMs;
  }

  /** Whether the target has answered a hold under this scheduler's token. */
  get isConfirmed(): boolean {
    return this.incarnation.isConfirmed;
  }

  /**
   * Time of birth of the target's incarnation, by its reports or its answers; 0 if
   * none had it.
   */
  get bornMs(): number {
    return this.incarnation.bornMs;
  }

  /** Monotonic time since which the target is silent; undefined if it isn't. */
  get silentSinceMs(): number | undefined {
    return this.contact.silentSinceMs;
  }

  /** Monotonic time of the last answer or report of the target. */
  get lastContactMs(): number {
    return this.contact.lastContactMs;
  }

  /** Whether the target belongs to another shard and gets no new runs. */
  get isReleased(): boolean {
    return this.hasBeenReleased;
  }

  /** Whether new runs may be ordered on the target. */
  get isAvailable(): boolean {
    return (
      !this.holds.isClosed &&
      !this.hasBeenReleased &&
      this.incarnation.isReady &&
      this.contact.silentSinceMs === undefined &&
      this.condition.health.kind !== 'ejected'
    );
  }

  /**
   * Whether a run may be ordered now. An order to start a run extends the lease
   * of everything on the target, also of what has to end soon.
   */
  get mayStartRun(): boolean {
    return (
      this.isAvailable &&
      this.lease.isClockAccurate &&
      !this.targetRuns.hasOrphans &&
      this.targetRuns.firstAbandonedMs() === undefined &&
      !this.lease.isShort
    );
  }

  /**
   * Whether a lease has to end soon, since nobody who waits for one of the runs
   * has been heard for a while.
   */
  get isLeaseShort(): boolean {
    return this.lease.isShort;
  }

  /**
   * Monotonic time by which all runs have ended even if the target does not
   * answer: its lease has expired and it has had time to stop them.
   */
  get latestRunEndMs(): number {
    return this.lease.latestRunEndMs;
  }

  /**
   * Whether the target gets no orders to start for now: one was rejected for lack
   * of capacity since the last hold, or too many are unanswered.
   */
  get isBusy(): boolean {
    return this.targetRuns.isFull || this.orders.hasManyUnanswered;
  }

  /** Whether the target has runs that no job has claimed. */
  get hasOrphans(): boolean {
    return this.targetRuns.hasOrphans;
  }

  /** Reads the clock of an idle target again if no run may be ordered without. */
  updateClock(): void {
    if (
      this.isAvailable &&
      !this.lease.isClockAccurate &&
      !this.isReadingClock
    ) {
      this.isReadingClock = true;
      void this.refreshRuns().then(() => {
        this.isReadingClock = false;
        // Without an answer, the target is silent and has to be asked again.
        this.holds.wake();
        this.host.onChange();
      });
    }
  }

  /**
   * Capacity that is not taken by runs that are ordered and not known to have
   * ended.
   */
  freeResources(): Resources {
    return this.targetRuns.freeResources();
  }

  /**
   * Time until each run is expected to end, in ascending order, and the
   * resources it frees.
   */
  expectedRunEnds(
    nowMs: number,
  ): Array<{readonly atMs: number; readonly freed: Resources}> {
    return this.targetRuns.expectedEnds(nowMs);
  }

  /** Which incarnation of the target a report is of. */
  incarnationOf(
    report: TargetReport,
  ): ReturnType<TargetIncarnation['incarnationOf']> {
    return this.incarnation.incarnationOf(report);
  }

  /**
   * Records a report of the same incarnation, unless it is out of date. A
   * departure bears the number of the last report that its receiver knew.
   */
  updateReport(report: TargetReport): void {
    this.contact.recordReport();
    this.incarnation.updateReport(report);
  }

  /**
   * Continues with the incarnation of a report, which is newer than that of the
   * session.
   */
  acceptRestart(report: TargetReport): void {
    this.host.port.closeConnections(this.endpoint);
    this.holds.restart(report.bornMs);
    this.incarnation.replaceReport(report);
    this.contact.recordReport();
    this.holds.wake();
    void this.refreshRuns();
  }

  /** Gives the target no new runs, since it belongs to another shard. */
  release(): void {
    this.hasBeenReleased = true;
  }

  /** Closes the session; nothing more is sent to the target. */
  close(): void {
    this.holds.close();
    this.host.port.closeConnections(this.endpoint);
  }

  /**
   * Closes all runs when they can no longer exist.
   *
   * @param loss - How the target was lost.
   */
  closeAllRuns(loss: TargetLoss): void {
    this.targetRuns.closeAll(loss);
  }

  /**
   * Orders a run to start; its result is reported through the host.
   *
   * @param run - The run, which has not been ordered yet.
   */
  start(run: R): Promise<void> {
    return this.orders.start(run);
  }

  /**
   * Orders a run to stop, and repeats the order until the run has ended.
   *
   * @param run - A run that was ordered on this target.
   */
  stop(run: R): Promise<void> {
    return this.orders.stop(run);
  }

  /**
   * Takes over a run that an earlier scheduler ordered.
   *
   * @param taskId - The task.
   * @returns The number of the run or its end; undefined if the target has
   *   neither.
   */
  adopt(taskId: TaskId): ReturnType<UnclaimedRuns['claim']> {
    return this.targetRuns.adopt(taskId);
  }

  /** Whether the target has an unclaimed run of a task. */
  hasOrphan(taskId: TaskId): boolean {
    return this.targetRuns.hasOrphan(taskId);
  }

  /** Adds a run that was taken over from an earlier scheduler. */
  addRun(run: R): void {
    this.targetRuns.add(run);
    this.holds.wake();
  }

  /** Records that a run has completed now. */
  recordDone(): void {
    this.condition.recordDone();
  }

  /**
   * Updates the health and the slowness of the target from the result of a run.
   */
  recordRunResult(event: 'succeeded' | 'failed', ratio?: number): void {
    this.condition.recordRunResult(event, ratio);
  }

  /**
   * Asks for the state of the runs at once, besides a hold that may be waiting.
   *
   * @returns Whether the target answered, or the session is closed.
   */
  refreshRuns(): Promise<boolean> {
    return this.holds.refreshRuns();
  }

  /** Ends an ejection whose time has passed. */
  updateHealth(): void {
    if (this.condition.updateHealth()) {
      this.host.onChange();
    }
  }

  /**
   * End of a lease that is granted now, on the target's clock, in milliseconds. A
   * lease is that of all runs on the target.
   *
   * @param limitMs - Monotonic time by which it has to end.
   */
  newLeaseEndMs(limitMs: number): number {
    return this.lease.newEndMs(limitMs);
  }

  /**
   * Monotonic time by which the lease of the runs has to end, in milliseconds;
   * infinite if nothing limits it.
   */
  leaseLimitMs(): number {
    return this.lease.limitMs();
  }
}
