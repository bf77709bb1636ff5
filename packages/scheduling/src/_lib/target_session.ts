import type {Resources, TargetReport, TaskId} from '@papayarun/protocol';
import {addResources} from '@papayarun/protocol';
import type {EndReport} from '../target_port/end_report.js';
import type {HoldResult} from '../target_port/hold_result.js';
import type {RunEnd} from '../target_port/run_end.js';
import type {OrderRejection} from '../target_port/order_rejection.js';
import type {TargetEndpoint} from '../target_port/target_endpoint.js';
import {remainingMs} from '../remaining_time/remaining_ms.js';
import {HOLD_WAIT_SHARE} from '../orphan_end/hold_wait_share.js';
import {orphanEndMs} from '../orphan_end/orphan_end_ms.js';
import {MIN_LEASE_SHARE} from '../run_permission/min_lease_share.js';
import {MAX_CLOCK_DRIFT} from './max_clock_drift.js';
import {TargetClock} from '../target_clock/target_clock.js';
import {nextSlowness} from '../target_slowness/next_slowness.js';
import {nextHealth} from '../target_health/next_health.js';
import type {TargetHealth} from '../target_health/target_health.js';
import {Sleeper} from './sleeper.js';
import {UnclaimedRuns} from './unclaimed_runs.js';
import type {TargetSessionHost} from './target_session_host.js';
import type {RunRecord} from './run_record.js';
import type {TargetLoss} from './target_loss.js';

/**
 * Delay before an order is repeated, in milliseconds. The first retry of an
 * unanswered hold is sent without delay.
 */
const RETRY_DELAY_MS = 100;
/**
 * Longest delay between holds to an unresponsive target without runs, in
 * milliseconds.
 */
const MAX_RETRY_DELAY_MS = 1_600;
/**
 * Time without runs after which ends are acknowledged by a separate hold, in
 * milliseconds. While runs are present, the next hold acknowledges them.
 */
const IDLE_ACK_DELAY_MS = 200;
/**
 * Most ends that a target lists in one answer. A list of this length may be
 * incomplete, so a run that it does not contain is not taken to be lost.
 */
const MAX_LISTED_ENDS = 500;
/**
 * Extra time before runs under an expired lease count as ended, in
 * milliseconds.
 */
const LEASE_SLACK_MS = 20;

/**
 * Largest error of a target's clock under which runs are ordered, as a share of
 * the longest lease. A lease is that much shorter, and still has to last over a
 * hold that waits.
 */
const MAX_CLOCK_ERROR_SHARE = 0.3;

/** When an order was sent, by the scheduler's clock and the target's restarts. */
interface SendTime {
  readonly atMs: number;
  readonly restarts: number;
}

/**
 * Session of the scheduler with a target.
 *
 * @description Sends all orders to the target, renews its lease, and tracks its
 * runs, health, slowness and clock. It lasts when the target restarts: an order
 * that was sent before the restart was noticed may be with the new incarnation,
 * so only the runs that the earlier one has listed are lost at once.
 */
export class TargetSession {
  private readonly clock = TargetClock.create();
  readonly runs = new Map<TaskId, RunRecord>();
  health: TargetHealth = {kind: 'sound'};
  slowness = 1;
  /** Whether the target has answered a hold under this scheduler's token. */
  isConfirmed = false;
  /**
   * Monotonic time since which the target has not answered; undefined if it
   * does.
   */
  silentSinceMs: number | undefined;
  /** Monotonic time of the last answer or report of the target. */
  lastContactMs: number;
  /** Monotonic time at which a run last completed, in milliseconds. */
  lastDoneMs = -Infinity;
  /** Whether the target belongs to another shard and gets no new runs. */
  isReleased = false;
  /**
   * Time of birth of the target's incarnation, by its reports or its answers;
   * 0 if none had it.
   */
  bornMs: number;
  /** Restarts of the target that were noticed in this session. */
  private restarts = 0;
  /** Whether the report is that of an earlier incarnation. */
  private isReportOutdated = false;
  /**
   * Whether the target's clock shows a restart that no list of runs has
   * confirmed yet.
   */
  private isRestartSuspected = false;
  /** Whether a hold is on its way to read the clock. */
  private isReadingClock = false;
  private isClosed = false;
  /** Whether the last order failed since nothing listens at the address. */
  private isRefusing = false;
  /** Whether a start was rejected for lack of capacity since the last hold. */
  private isFull = false;
  /** Number of the last end that was processed. */
  private lastSeenEnd = 0;
  /** Number of the last end that was acknowledged to the target. */
  private lastAcknowledgedEnd = 0;
  /** Monotonic time by which every lease granted to the target has expired. */
  private leasesExpiredByMs = 0;
  /** Runs on the target that this scheduler did not order, and their ends. */
  private readonly orphans = UnclaimedRuns.create();
  private readonly sleeper: Sleeper;
  /** Unanswered holds since the last answer. */
  private consecutiveFailures = 0;

  private constructor(
    private readonly host: TargetSessionHost,
    public report: TargetReport,
  ) {
    this.lastContactMs = host.clock.now();
    this.bornMs = report.bornMs;
    this.sleeper = Sleeper.create(host.clock);
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
  static create(host: TargetSessionHost, report: TargetReport): TargetSession {
    const session = new TargetSession(host, report);
    void session.holdLoop();
    return session;
  }

  get endpoint(): TargetEndpoint {
    return this.report;
  }

  /** Whether new runs may be ordered on the target. */
  get isAvailable(): boolean {
    return (
      !this.isClosed &&
      !this.isReleased &&
      this.isConfirmed &&
      !this.isReportOutdated &&
      this.silentSinceMs === undefined &&
      this.report.state === 'ready' &&
      this.health.kind !== 'ejected'
    );
  }

  /**
   * Whether a run may be ordered now. An order to start a run extends the lease
   * of everything on the target, also of what has to end soon.
   */
  get mayStartRun(): boolean {
    return (
      this.isAvailable &&
      this.isClockAccurate &&
      this.orphans.size === 0 &&
      this.firstAbandonedMs() === undefined &&
      !this.isLeaseShort
    );
  }

  /**
   * Whether a lease has to end soon, since nobody who waits for one of the runs
   * has been heard for a while.
   */
  get isLeaseShort(): boolean {
    const {clock, timing} = this.host;
    const limitMs = clock.now() + MIN_LEASE_SHARE * timing.maxLeaseMs;
    // What was known at the last renewal is enough most of the time.
    for (const {permittedUntilMs} of this.runs.values()) {
      if (permittedUntilMs < limitMs) {
        return this.leaseLimitMs() < limitMs;
      }
    }
    return false;
  }

  /** Whether a lease that is granted now is about as long as it may be. */
  private get isClockAccurate(): boolean {
    const {clock, timing} = this.host;
    const maxErrorMs = MAX_CLOCK_ERROR_SHARE * timing.maxLeaseMs;
    return this.clock.maxErrorMs(clock.now()) <= maxErrorMs;
  }

  /** Reads the clock of an idle target again if no run may be ordered without. */
  updateClock(): void {
    if (this.isAvailable && !this.isClockAccurate && !this.isReadingClock) {
      this.isReadingClock = true;
      void this.refreshRuns().then(() => {
        this.isReadingClock = false;
        // Without an answer, the target is silent and has to be asked again.
        this.wake();
        this.host.onChange();
      });
    }
  }

  /**
   * Capacity that is not taken by runs that are ordered and not known to have
   * ended.
   */
  freeResources(): Resources {
    const {capacity} = this.report;
    if (this.isFull) {
      return {cores: 0, memoryMb: 0, accelerators: 0};
    }
    let free = capacity;
    for (const {needs} of this.runs.values()) {
      free = addResources(free, needs, -1);
    }
    return free;
  }

  /**
   * Time until each run is expected to end, in ascending order, and the
   * resources it frees.
   */
  expectedRunEnds(
    nowMs: number,
  ): Array<{readonly atMs: number; readonly freed: Resources}> {
    return [...this.runs.values()]
      .map(run => ({
        atMs: remainingMs(run.expectedMs, nowMs - run.orderedMs),
        freed: run.needs,
      }))
      .sort((a, b) => a.atMs - b.atMs);
  }

  /**
   * Monotonic time by which all runs have ended even if the target does not
   * answer: its lease has expired and it has had time to stop them.
   */
  get latestRunEndMs(): number {
    return this.leasesExpiredByMs + this.host.timing.stopMs + LEASE_SLACK_MS;
  }

  /**
   * Which incarnation of the target a report is of. Without two times of birth
   * it counts as the current one, and a restart shows in the lists of runs.
   */
  incarnationOf({bornMs}: TargetReport): 'earlier' | 'current' | 'later' {
    if (bornMs === 0) {
      return this.report.bornMs === 0 ? 'current' : 'earlier';
    }
    if (this.bornMs === 0 || bornMs === this.bornMs) {
      return 'current';
    }
    return bornMs > this.bornMs ? 'later' : 'earlier';
  }

  /**
   * Records a report of the same incarnation, unless it is out of date. A
   * departure bears the number of the last report that its receiver knew.
   */
  updateReport(report: TargetReport): void {
    this.lastContactMs = this.host.clock.now();
    if (report.state === 'gone' || report.sequence >= this.report.sequence) {
      this.report = report;
      this.isReportOutdated = false;
    }
  }

  /**
   * Continues with the incarnation of a report, which is newer than that of the
   * session.
   */
  acceptRestart(report: TargetReport): void {
    this.host.port.closeConnections(this.endpoint);
    this.restart(report.bornMs);
    this.report = report;
    this.isReportOutdated = false;
    this.lastContactMs = this.host.clock.now();
    this.wake();
    void this.refreshRuns();
  }

  /** Closes the session; nothing more is sent to the target. */
  close(): void {
    this.isClosed = true;
    this.sleeper.wake();
    this.host.port.closeConnections(this.endpoint);
  }

  /**
   * Closes all runs when they can no longer exist.
   *
   * @param loss - How the target was lost.
   */
  closeAllRuns(loss: TargetLoss): void {
    this.closeRuns([...this.runs.values()], loss);
  }

  private closeRuns(runs: readonly RunRecord[], loss: TargetLoss): void {
    if (runs.length > 0) {
      this.host.log.emit('targetRunsLost', {
        target: this.report.targetId,
        loss,
        silentMs: this.silentMs(),
        runs: runs.map(({task, runNumber}) => ({
          taskId: task.taskId,
          kind: task.job.job.kind,
          run: runNumber,
        })),
      });
    }
    const end = loss === 'silent' ? 'lapsed' : 'targetCrashed';
    for (const run of runs) {
      this.closeRun(run, end);
    }
  }

  /**
   * Continues with a new incarnation, which is asked for its runs before it gets
   * others. Runs that the earlier one has listed have ended with it; the new one
   * may have the others, or may yet get the order to start them.
   *
   * @param bornMs - Time of birth of the new incarnation; 0 if unknown.
   */
  private restart(bornMs: number): void {
    const {clock, log, timing} = this.host;
    this.restarts++;
    this.bornMs = bornMs;
    if (this.report.bornMs !== 0) {
      this.report = {...this.report, bornMs, sequence: 0};
      this.isReportOutdated = true;
    }
    this.clock.reset();
    this.isConfirmed = false;
    this.isRestartSuspected = false;
    this.isFull = false;
    this.isRefusing = false;
    this.silentSinceMs = undefined;
    this.consecutiveFailures = 0;
    this.health = {kind: 'sound'};
    this.slowness = 1;
    this.lastSeenEnd = 0;
    this.lastAcknowledgedEnd = 0;
    this.orphans.clear();
    const runs = [...this.runs.values()];
    const lost = runs.filter(run => run.isListed);
    const unlisted = runs.filter(run => !run.isListed);
    for (const run of unlisted) {
      run.mayBeLost = true;
    }
    log.emit('targetRestarted', {
      target: this.report.targetId,
      bornMs,
      lost: lost.length,
      unlisted: unlisted.length,
    });
    // The new incarnation may have taken a whole lease from the last order.
    this.leasesExpiredByMs =
      clock.now() + timing.maxLeaseMs / (1 - MAX_CLOCK_DRIFT);
    this.closeRuns(lost, 'restarted');
  }

  /**
   * Orders a run to start; its result is reported through the host.
   *
   * @param run - The run, which has not been ordered yet.
   */
  async start(run: RunRecord): Promise<void> {
    this.runs.set(run.task.taskId, run);
    this.wake();
    this.recordLease(run.leaseEndMs);
    const sent = this.sendTime();
    const res = await this.host.port.start(this.endpoint, {
      taskId: run.task.taskId,
      run: run.runNumber,
      spec: run.task.job.job.spec,
      token: this.host.token,
      leaseEndMs: run.leaseEndMs,
    });
    if (this.isClosed || this.runs.get(run.task.taskId) !== run) {
      return;
    }
    switch (res.kind) {
      case 'accepted':
        this.confirmRun(run);
        this.recordOrderAnswer(res.clockMs, sent);
        return;
      case 'rejected':
        this.recordOrderAnswer(res.clockMs, sent);
        this.handleStartRejection(run, res.reason);
        return;
      case 'unknown':
        run.state = run.state === 'starting' ? 'uncertain' : run.state;
        this.host.log.emit('orderUnanswered', {
          taskId: run.task.taskId,
          run: run.runNumber,
          target: this.report.targetId,
          reason: res.reason,
        });
        await this.resolveUncertainStart(run);
        return;
      default:
        res satisfies never;
    }
  }

  /**
   * Orders a run to stop, and repeats the order until the run has ended.
   *
   * @param run - A run that was ordered on this target.
   */
  async stop(run: RunRecord): Promise<void> {
    if (run.state === 'stopping') {
      return;
    }
    run.state = 'stopping';
    this.wake();
    await this.stopUntilEnded(run);
  }

  /**
   * Takes over a run that an earlier scheduler ordered.
   *
   * @param taskId - The task.
   * @returns The number of the run or its end; undefined if the target has
   *   neither.
   */
  adopt(taskId: TaskId): ReturnType<UnclaimedRuns['claim']> {
    return this.orphans.claim(taskId);
  }

  /** Whether the target has runs that no job has claimed. */
  get hasOrphans(): boolean {
    return this.orphans.size > 0;
  }

  /** Whether the target has an unclaimed run of a task. */
  hasOrphan(taskId: TaskId): boolean {
    return this.orphans.has(taskId);
  }

  /** Adds a run that was taken over from an earlier scheduler. */
  addRun(run: RunRecord): void {
    this.runs.set(run.task.taskId, run);
    this.wake();
  }

  /**
   * Updates the health and the slowness of the target from the result of a run.
   */
  recordRunResult(event: 'succeeded' | 'failed', ratio?: number): void {
    const before = this.health.kind;
    this.health = nextHealth(this.health, event, this.host.clock.now());
    if (ratio !== undefined) {
      this.slowness = nextSlowness(this.slowness, ratio);
    }
    if (before !== this.health.kind) {
      this.host.log.emit(
        this.health.kind === 'ejected' ? 'targetEjected' : 'targetTrust',
        {target: this.report.targetId, trust: this.health},
      );
    }
  }

  /**
   * Asks for the state of the runs at once, besides a hold that may be waiting.
   *
   * @returns Whether the target answered, or the session is closed.
   */
  refreshRuns(): Promise<boolean> {
    return this.hold(false);
  }

  /** Ends an ejection whose time has passed. */
  updateHealth(): void {
    const before = this.health;
    this.health = nextHealth(before, 'timePassed', this.host.clock.now());
    if (before !== this.health) {
      this.host.onChange();
    }
  }

  /**
   * End of a lease that is granted now, on the target's clock, in milliseconds. A
   * lease is that of all runs on the target.
   *
   * @param permittedUntilMs - Monotonic time by which it has to end besides, for a
   *   run that isn't on the target yet.
   */
  newLeaseEndMs(permittedUntilMs = Infinity): number {
    const leaseEndMs =
      this.clock.at(this.host.clock.now()) + this.host.timing.maxLeaseMs;
    const limitMs = Math.min(permittedUntilMs, this.leaseLimitMs());
    return limitMs === Infinity
      ? leaseEndMs
      : Math.min(leaseEndMs, this.clock.at(limitMs));
  }

  /** Monotonic time by which the lease of the runs has to end. */
  private leaseLimitMs(): number {
    let limitMs = Infinity;
    for (const run of this.runs.values()) {
      if (run.abandonedMs === undefined) {
        const endMs = this.host.permissionEndMs(run.task.job.job.id);
        run.permittedUntilMs = Math.max(run.permittedUntilMs, endMs);
      }
      limitMs = Math.min(limitMs, run.permittedUntilMs);
    }
    return limitMs;
  }

  /**
   * Sends holds until the session is closed, and sleeps while none is needed.
   */
  private async holdLoop(): Promise<void> {
    while (!this.isClosed) {
      if (!this.needsHold()) {
        await this.sleeper.sleep(IDLE_ACK_DELAY_MS);
        if (
          this.runs.size > 0 ||
          this.lastSeenEnd === this.lastAcknowledgedEnd
        ) {
          if (!this.needsHold() && !this.isClosed) {
            await this.sleeper.sleep();
          }
          continue;
        }
      }
      const caughtUp = this.host.catchUp();
      if (caughtUp) {
        // Those that wait for the runs may have been heard during a pause.
        await caughtUp;
      }
      if (this.isClosed) {
        return;
      }
      const isAnswered = await this.hold(
        this.runs.size > 0 || this.orphans.size > 0,
      );
      if (!isAnswered) {
        await this.host.clock.sleep(this.retryDelayMs());
      }
    }
  }

  /**
   * Whether the target has not answered yet or is silent, has a lease to renew,
   * or has an unclaimed run.
   */
  private needsHold(): boolean {
    return (
      !this.isConfirmed ||
      this.silentSinceMs !== undefined ||
      this.runs.size > 0 ||
      this.orphans.size > 0
    );
  }

  /** Time at which the first of the runs was given up; undefined if none was. */
  private firstAbandonedMs(): number | undefined {
    let firstMs: number | undefined;
    for (const {abandonedMs} of this.runs.values()) {
      if (abandonedMs !== undefined) {
        firstMs = Math.min(firstMs ?? abandonedMs, abandonedMs);
      }
    }
    return firstMs;
  }

  private retryDelayMs(): number {
    if (this.consecutiveFailures === 1) {
      return 0;
    }
    return this.runs.size > 0
      ? RETRY_DELAY_MS
      : Math.min(
          MAX_RETRY_DELAY_MS,
          RETRY_DELAY_MS * 2 ** Math.min(this.consecutiveFailures, 8),
        );
  }

  /**
   * Renews the lease, if the target's clock is known, and processes the listed
   * runs and ends.
   *
   * @param mayWait - Whether the target may delay its answer until a run ends.
   * @returns Whether the target answered.
   */
  private async hold(mayWait: boolean): Promise<boolean> {
    const {port, token} = this.host;
    const leaseEndMs = this.renewedLeaseEndMs();
    const waitMs =
      mayWait && this.isConfirmed && this.consecutiveFailures === 0
        ? this.holdWaitMs(leaseEndMs)
        : 0;
    const previousEndMs = this.leasesExpiredByMs;
    if (leaseEndMs !== undefined) {
      this.recordLease(leaseEndMs);
    }
    const renewedEndMs = this.leasesExpiredByMs;
    const sent = this.sendTime();
    // A new incarnation would drop ends by the numbers of the earlier one.
    const lastSeenEnd = this.isRestartSuspected ? 0 : this.lastSeenEnd;
    const order = {token, lastSeenEnd, leaseEndMs, waitMs};
    const res = await port.hold(this.endpoint, order);
    if (this.isClosed) {
      return true;
    }
    if (res.kind === 'held' && !this.isOfEarlierIncarnation(res, sent)) {
      this.handleHeld(res, order.lastSeenEnd, sent);
      return true;
    }
    if (sent.restarts !== this.restarts) {
      return true;
    }
    switch (res.kind) {
      case 'rejected':
        this.recordOrderAnswer(res.clockMs, sent);
        if (isNotSent(res.reason) && this.leasesExpiredByMs === renewedEndMs) {
          this.leasesExpiredByMs = previousEndMs;
        }
        return this.handleHoldRejection(res.reason);
      case 'held':
      case 'unknown':
        // A single answer may get lost; the target counts as silent only after
        // two unanswered holds in a row.
        if (++this.consecutiveFailures > 1) {
          this.markSilent();
        }
        return false;
      default:
        return res satisfies never;
    }
  }

  /**
   * Longest wait of a hold for an end, in milliseconds; short while the target
   * has unclaimed runs, which may be claimed or have to be stopped soon, and if
   * the lease is short.
   *
   * @param leaseEndMs - End of the lease that the hold carries, on the target's
   *   clock, in milliseconds; undefined if it carries none.
   */
  private holdWaitMs(leaseEndMs: number | undefined): number {
    const {clock, timing} = this.host;
    if (this.orphans.size > 0) {
      return timing.stopMs;
    }
    const leaseMs =
      leaseEndMs === undefined
        ? timing.maxLeaseMs
        : Math.min(leaseEndMs - this.clock.at(clock.now()), timing.maxLeaseMs);
    return Math.floor(Math.max(timing.stopMs, leaseMs * HOLD_WAIT_SHARE));
  }

  /**
   * Whether a hold extends the lease. A target that isn't heard for a while may
   * be at work, so its lease is renewed for the length of another one. After
   * that, its runs are left to lapse, so that they can be started elsewhere.
   *
   * An unclaimed run has to end soon, since its caller may have been answered
   * and may send the job again, also to a scheduler that knows nothing of it.
   */
  private mayRenewLease(): boolean {
    const {clock, timing} = this.host;
    return (
      this.clock.isKnown &&
      this.runs.size > 0 &&
      this.orphans.size === 0 &&
      (this.silentSinceMs === undefined ||
        clock.now() - this.silentSinceMs < timing.maxLeaseMs)
    );
  }

  /**
   * End of the lease that a hold carries, on the target's clock, in
   * milliseconds; undefined if it carries none. A run that was given up gets no
   * more than a whole lease from then on.
   */
  private renewedLeaseEndMs(): number | undefined {
    if (!this.mayRenewLease()) {
      return undefined;
    }
    const leaseEndMs = this.newLeaseEndMs();
    const abandonedMs = this.firstAbandonedMs();
    return abandonedMs === undefined
      ? leaseEndMs
      : Math.min(
          leaseEndMs,
          this.clock.at(abandonedMs) + this.host.timing.maxLeaseMs,
        );
  }

  /** Handles a rejection that concerns the target as a whole. */
  private handleHoldRejection(reason: OrderRejection): boolean {
    if (reason === 'fenced') {
      this.host.onFenced(this);
      return true;
    }
    if (reason === 'otherIncarnation') {
      this.isConfirmed = false;
      this.closeAllRuns('restarted');
      this.markSilent();
      return false;
    }
    this.isRefusing = reason === 'refused';
    if (this.isRefusing) {
      this.host.onTargetRefusing(this);
    }
    this.markSilent();
    return false;
  }

  /**
   * Processes a list of the runs on the target.
   *
   * @param res - The list.
   * @param acknowledgedEnd - Number of the last end that the hold acknowledged.
   * @param sent - When the hold was sent.
   */
  private handleHeld(
    res: Extract<HoldResult, {kind: 'held'}>,
    acknowledgedEnd: number,
    sent: SendTime,
  ): void {
    const {bornMs} = res;
    if (this.showsRestart(res, sent)) {
      this.restart(bornMs ?? 0);
    } else if (sent.restarts === this.restarts) {
      this.lastAcknowledgedEnd = Math.max(
        this.lastAcknowledgedEnd,
        acknowledgedEnd,
      );
    }
    this.bornMs = bornMs ?? this.bornMs;
    this.isRestartSuspected = false;
    this.recordContact(res.clockMs, sent.atMs);
    this.isFull = false;
    this.updateRuns(res, sent.atMs);
  }

  /** Whether a list of runs is that of an incarnation before the current one. */
  private isOfEarlierIncarnation(
    {bornMs}: Extract<HoldResult, {kind: 'held'}>,
    sent: SendTime,
  ): boolean {
    return bornMs === undefined
      ? sent.restarts !== this.restarts
      : bornMs < this.bornMs;
  }

  /**
   * Whether a list of runs is that of a new incarnation. Without two times of
   * birth, the target's clock decides.
   */
  private showsRestart(
    {bornMs, clockMs}: Extract<HoldResult, {kind: 'held'}>,
    sent: SendTime,
  ): boolean {
    if (bornMs !== undefined && this.bornMs !== 0) {
      return bornMs > this.bornMs;
    }
    return this.isRestartSuspected || this.isClockRestarted(clockMs, sent);
  }

  /** Whether the time in an answer can't be of the clock known so far. */
  private isClockRestarted(clockMs: number, sent: SendTime): boolean {
    return (
      sent.restarts === this.restarts &&
      this.clock.isContradictedBy(clockMs, sent.atMs, this.host.clock.now())
    );
  }

  private updateRuns(
    res: Extract<HoldResult, {kind: 'held'}>,
    sentMs: number,
  ): void {
    for (const end of res.ended) {
      if (end.number > this.lastSeenEnd) {
        this.lastSeenEnd = end.number;
        this.handleEnd(end);
      }
    }
    const present = new Map(res.running.map(r => [r.taskId, r.run]));
    for (const run of [...this.runs.values()]) {
      if (present.get(run.task.taskId) === run.runNumber) {
        this.confirmRun(run);
        run.isListed = true;
        run.mayBeLost = false;
      } else if (
        run.confirmedMs !== undefined &&
        run.confirmedMs < sentMs &&
        res.ended.length < MAX_LISTED_ENDS
      ) {
        this.closeRun(run, run.mayBeLost ? 'targetCrashed' : 'lapsed');
      }
    }
    this.updateOrphans(present);
    if (!this.isConfirmed) {
      this.isConfirmed = true;
      if (this.orphans.size > 0) {
        // An earlier scheduler may have granted a whole lease until just now.
        this.recordLease(this.newLeaseEndMs());
      }
      this.host.onChange();
    }
    if (res.ended.length > 0) {
      this.host.onChange();
    }
  }

  private handleEnd(end: EndReport): void {
    const run = this.runs.get(end.taskId);
    const wasOrphan = this.orphans.delete(end.taskId);
    if (run?.runNumber === end.run) {
      this.closeRun(run, end.how);
      return;
    }
    if (end.how === 'done') {
      this.host.onEarlierRunDone(this, end.taskId);
    }
    if (!this.isConfirmed || wasOrphan || this.orphans.size > 0) {
      this.orphans.addEnd(end, this.host.clock.now());
    }
  }

  /**
   * Records runs of an earlier scheduler and stops those that no job claims in
   * time.
   */
  private updateOrphans(present: ReadonlyMap<TaskId, number>): void {
    const nowMs = this.host.clock.now();
    this.orphans.keepOnly(present);
    for (const [taskId, runNumber] of present) {
      if (this.runs.get(taskId)?.runNumber === runNumber) {
        continue;
      }
      const orphan = this.orphans.get(taskId);
      if (!orphan) {
        this.orphans.add(taskId, runNumber, nowMs);
        this.host.log.emit('unknownRunListed', {
          taskId,
          run: runNumber,
          target: this.report.targetId,
        });
      } else if (nowMs > this.orphanEndMs(orphan.firstSeenMs)) {
        const {token} = this.host;
        this.host.log.emit('orphanStopped', {
          taskId,
          run: runNumber,
          target: this.report.targetId,
        });
        void this.host.port.stop(this.endpoint, {
          taskId,
          run: runNumber,
          token,
        });
      }
    }
  }

  /**
   * Monotonic time at which an unclaimed run is stopped. Nothing renews the lease
   * of a claimed run beside it.
   */
  private orphanEndMs(firstSeenMs: number): number {
    const {host} = this;
    const run = {
      firstSeenMs,
      handedOverMs: host.handedOverMs(),
      mayHandOverLate: this.runs.size === 0 && host.isFormerActive(),
    };
    return orphanEndMs(run, host.timing);
  }

  private handleStartRejection(run: RunRecord, reason: OrderRejection): void {
    switch (reason) {
      case 'fenced':
        this.host.onFenced(this);
        return;
      case 'noRoom':
        this.isFull = true;
        break;
      case 'unhealthy':
      case 'notSent':
      case 'refused':
        this.recordRunResult('failed');
        break;
      case 'otherIncarnation':
        // This run did not start on the incarnation that was lost.
        this.discardRun(run, reason);
        this.handleHoldRejection(reason);
        break;
      case 'expired':
      case 'superseded':
      case 'malformed':
        break;
      default:
        reason satisfies never;
    }
    this.discardRun(run, reason);
    this.wake();
  }

  /**
   * Checks whether an unanswered start took effect, and stops the run if it is
   * not listed.
   */
  private async resolveUncertainStart(run: RunRecord): Promise<void> {
    const {taskId} = run.task;
    await this.hold(false);
    if (run.state !== 'uncertain' || this.runs.get(taskId) !== run) {
      return;
    }
    await this.stopUntilEnded(run);
  }

  private async stopUntilEnded(run: RunRecord): Promise<void> {
    const {clock, port, timing, token} = this.host;
    const {taskId} = run.task;
    const order = {taskId, run: run.runNumber, token};
    while (!this.isClosed && this.runs.get(taskId) === run) {
      const {restarts} = this;
      const res = await port.stop(this.endpoint, order);
      if (res.kind === 'accepted') {
        // A run that began before the stop is listed in the answer to this
        // hold, since it is sent after the stop was accepted.
        const isAnswered = await this.hold(false);
        const isBarred = isAnswered && restarts === this.restarts;
        if (isBarred && run.confirmedMs === undefined) {
          this.closeUnstartedRun(run);
        }
        if (this.runs.get(taskId) === run) {
          await clock.sleep(timing.stopMs);
        }
      } else if (res.kind === 'rejected') {
        if (res.reason === 'fenced') {
          this.host.onFenced(this);
          return;
        }
        if (res.reason === 'otherIncarnation') {
          this.handleHoldRejection(res.reason);
          return;
        }
      }
      if (clock.now() > this.latestRunEndMs) {
        this.closeRun(run, 'lapsed');
      }
      await clock.sleep(RETRY_DELAY_MS);
    }
  }

  /** Marks a run as known to be present on the target. */
  private confirmRun(run: RunRecord): void {
    run.confirmedMs ??= this.host.clock.now();
    if (run.state === 'starting' || run.state === 'uncertain') {
      run.state = 'running';
    }
  }

  /** Removes a run that has ended or can no longer exist. */
  private closeRun(run: RunRecord, how: RunEnd): void {
    if (this.runs.get(run.task.taskId) === run) {
      this.runs.delete(run.task.taskId);
      this.host.onRunEnded(run, how);
    }
  }

  /** Removes a run that was stopped before its target could start it. */
  private closeUnstartedRun(run: RunRecord): void {
    if (run.mayBeLost) {
      this.closeRun(run, 'targetCrashed');
    } else {
      this.discardRun(run, 'stopped before it began');
    }
  }

  /** Removes a run whose order to start was certainly not carried out. */
  private discardRun(run: RunRecord, reason: string): void {
    if (this.runs.get(run.task.taskId) === run) {
      this.runs.delete(run.task.taskId);
      this.host.onRunNotStarted(run, reason);
    }
  }

  /** Extends the time by which all leases of the target have expired. */
  private recordLease(leaseEndMs: number): void {
    this.leasesExpiredByMs = Math.max(
      this.leasesExpiredByMs,
      this.clock.latestLocalTimeOf(leaseEndMs),
    );
  }

  /** Time and incarnation that an order is sent at. */
  private sendTime(): SendTime {
    return {atMs: this.host.clock.now(), restarts: this.restarts};
  }

  /**
   * Records the answer to an order, if it contains the time on the target's
   * clock. The answer doesn't name the incarnation that it is of, so a clock
   * that has started anew makes the scheduler ask for it.
   */
  private recordOrderAnswer(clockMs: number | undefined, sent: SendTime): void {
    if (clockMs === undefined || sent.restarts !== this.restarts) {
      return;
    }
    const isRestarted = this.isClockRestarted(clockMs, sent);
    this.recordContact(clockMs, sent.atMs);
    if (isRestarted && !this.isRestartSuspected) {
      this.isRestartSuspected = true;
      this.isConfirmed = false;
      void this.refreshRuns();
    }
  }

  /** Records an answer of the target. */
  private recordContact(clockMs: number, sentMs: number): void {
    const nowMs = this.host.clock.now();
    if (this.clock.isContradictedBy(clockMs, sentMs, nowMs)) {
      this.clock.reset();
    }
    this.clock.addReading(clockMs, sentMs, nowMs);
    this.lastContactMs = nowMs;
    this.consecutiveFailures = 0;
    if (this.silentSinceMs !== undefined) {
      this.host.log.emit('targetHeard', {
        target: this.report.targetId,
        silentMs: this.silentMs(),
      });
      this.silentSinceMs = undefined;
      this.isRefusing = false;
      this.host.onChange();
    }
  }

  /** Time since the target was last heard, in milliseconds; 0 if it answers. */
  private silentMs(): number {
    const nowMs = this.host.clock.now();
    return Math.round(nowMs - (this.silentSinceMs ?? nowMs));
  }

  private markSilent(): void {
    const nowMs = this.host.clock.now();
    if (this.silentSinceMs === undefined) {
      this.silentSinceMs = nowMs;
      this.host.log.emit('targetSilent', {
        target: this.report.targetId,
        runs: this.runs.size,
      });
    }
    if (nowMs > this.latestRunEndMs) {
      this.closeAllRuns(this.isRefusing ? 'refused' : 'silent');
    }
    this.host.onChange();
  }

  /** Wakes the hold loop. */
  private wake(): void {
    this.sleeper.wake();
  }
}

/** Whether an order was rejected since no connection could be made. */
function isNotSent(reason: OrderRejection): boolean {
  return reason === 'notSent' || reason === 'refused';
}
