import type {RunRecord} from '../_lib/run_record.js';
import type {SendTime} from '../_lib/send_time.js';
import {Sleeper} from '../_lib/sleeper.js';
import type {TargetSessionHost} from '../_lib/target_session_host.js';
import type {TargetCondition} from '../target_condition/target_condition.js';
import {retryDelayMs} from '../target_contact/retry_delay_ms.js';
import type {TargetContact} from '../target_contact/target_contact.js';
import type {TargetIncarnation} from '../target_incarnation/target_incarnation.js';
import {holdWaitMs} from '../target_lease/hold_wait_ms.js';
import type {TargetLease} from '../target_lease/target_lease.js';
import type {HoldResult} from '../target_port/hold_result.js';
import type {OrderRejection} from '../target_port/order_rejection.js';
import type {TargetRuns} from '../target_runs/target_runs.js';

/**
 * Time without runs after which ends are acknowledged by a separate hold, in
 * milliseconds. While runs are present, the next hold acknowledges them.
 */
const IDLE_ACK_DELAY_MS = 200;
/**
 * Most holds on their way at once that ask for the state of the runs. Each answer
 * lists all runs, so the stops of thousands of runs must not ask one by one.
 */
const MAX_REFRESHES = 4;
/**
 * Number of runs of a target from which the scheduler pauses between its lists.
 * Each end is answered by a list of all runs.
 */
const MANY_RUNS = 1_000;
/**
 * Pause for each run of the target, in milliseconds; several times as long as the
 * scheduler takes for it in a list.
 */
const PAUSE_PER_RUN_MS = 0.005;

/** What a session knows of its target, by owner. */
interface SessionParts<R extends RunRecord> {
  readonly incarnation: TargetIncarnation;
  readonly contact: TargetContact;
  readonly condition: TargetCondition;
  readonly lease: TargetLease;
  readonly runs: TargetRuns<R>;
  /** Called when the target has seen a higher fencing token. */
  readonly onFenced: () => void;
}

/**
 * Holds of a session: they renew the lease of the target and ask for its runs.
 *
 * @description Their answers, and the times in the answers to other orders, show
 * whether the target is heard and whether it has restarted.
 */
export class TargetHolds<R extends RunRecord = RunRecord> {
  private readonly sleeper: Sleeper;
  private hasClosed = false;
  /** Number of holds on their way that ask for the state of the runs. */
  private refreshes = 0;
  /** Hold that is sent next; all that ask until then share its answer. */
  private nextRefresh: Promise<boolean> | undefined;
  private sendNextRefresh: (() => void) | undefined;

  private constructor(
    private readonly host: TargetSessionHost<R>,
    private readonly parts: SessionParts<R>,
  ) {
    this.sleeper = Sleeper.create(host.clock);
  }

  /**
   * Creates the holds of a session, of which none is sent yet.
   *
   * @param host - The scheduler.
   * @param parts - What the session knows of its target.
   * @returns The holds.
   * @example
   * const holds = TargetHolds.create(host, parts);
   * void holds.holdLoop();
   */
  static create<R extends RunRecord>(
    host: TargetSessionHost<R>,
    parts: SessionParts<R>,
  ): TargetHolds<R> {
    return new TargetHolds(host, parts);
  }

  /** Whether nothing more is sent to the target. */
  get isClosed(): boolean {
    return this.hasClosed;
  }

  /** Time and incarnation that an order is sent at. */
  get sendTime(): SendTime {
    const {restarts} = this.parts.incarnation;
    return {atMs: this.host.clock.now(), restarts};
  }

  /** Ends the hold loop; nothing more is sent to the target. */
  close(): void {
    this.hasClosed = true;
    this.sleeper.wake();
  }

  /** Wakes the hold loop. */
  wake(): void {
    this.sleeper.wake();
  }

  /**
   * Sends holds until the session is closed, and sleeps while none is needed.
   */
  async holdLoop(): Promise<void> {
    const {runs, contact} = this.parts;
    while (!this.hasClosed) {
      if (!this.needsHold()) {
        await this.sleeper.sleep(IDLE_ACK_DELAY_MS);
        if (runs.byTask.size > 0 || !runs.hasUnacknowledgedEnd) {
          if (!this.needsHold() && !this.hasClosed) {
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
      if (this.hasClosed) {
        return;
      }
      const isAnswered = await this.hold(
        runs.byTask.size > 0 || runs.hasOrphans,
      );
      if (!isAnswered) {
        await this.host.clock.sleep(
          retryDelayMs(contact.consecutiveFailures, runs.byTask.size > 0),
        );
      } else if (!runs.mayHaveMoreEnds) {
        await this.pauseForManyRuns();
      }
    }
  }

  /**
   * Renews the lease, if the target's clock is known, and processes the listed
   * runs and ends.
   *
   * @param mayWait - Whether the target may delay its answer until a run ends.
   * @returns Whether the target answered.
   */
  async hold(mayWait: boolean): Promise<boolean> {
    const {port, token} = this.host;
    const {incarnation, contact, lease, runs} = this.parts;
    const leaseEndMs = this.mayRenewLease()
      ? lease.renewedEndMs(runs.firstAbandonedMs())
      : undefined;
    const waitMs =
      mayWait && incarnation.isConfirmed && contact.consecutiveFailures === 0
        ? this.waitMs(leaseEndMs)
        : 0;
    const previousMs = lease.expiredByMs;
    if (leaseEndMs !== undefined) {
      lease.record(leaseEndMs);
    }
    const recordedMs = lease.expiredByMs;
    const sent = this.sendTime;
    // A new incarnation would drop ends by the numbers of the earlier one.
    const lastSeenEnd = incarnation.isRestartSuspected ? 0 : runs.lastSeenEnd;
    const order = {token, lastSeenEnd, leaseEndMs, waitMs};
    const res = await port.hold(incarnation.report, order);
    if (this.hasClosed) {
      return true;
    }
    if (res.kind === 'held' && !incarnation.isOfEarlierIncarnation(res, sent)) {
      this.handleHeld(res, lastSeenEnd, sent);
      return true;
    }
    if (sent.restarts !== incarnation.restarts) {
      return true;
    }
    switch (res.kind) {
      case 'rejected':
        this.recordOrderAnswer(res.clockMs, sent);
        if (isNotSent(res.reason)) {
          lease.takeBack(recordedMs, previousMs);
        }
        return this.handleHoldRejection(res.reason);
      case 'held':
      case 'unknown':
        // A single answer may get lost; the target counts as silent only after
        // two unanswered holds in a row.
        contact.recordFailure();
        if (contact.consecutiveFailures > 1) {
          this.markSilent();
        }
        return false;
      default:
        return res satisfies never;
    }
  }

  /** Handles a rejection that concerns the target as a whole. */
  handleHoldRejection(reason: OrderRejection): boolean {
    const {incarnation, contact, runs, onFenced} = this.parts;
    if (reason === 'fenced') {
      onFenced();
      return true;
    }
    if (reason === 'otherIncarnation') {
      incarnation.isConfirmed = false;
      runs.closeAll('restarted');
      this.markSilent();
      return false;
    }
    contact.isRefusing = reason === 'refused';
    if (contact.isRefusing) {
      this.host.onTargetRefusing(runs.byTask);
    }
    this.markSilent();
    return false;
  }

  /**
   * Records the answer to an order, if it contains the time on the target's
   * clock. The answer doesn't name the incarnation that it is of, so a clock
   * that has started anew makes the scheduler ask for it.
   */
  recordOrderAnswer(clockMs: number | undefined, sent: SendTime): void {
    const {incarnation} = this.parts;
    if (clockMs === undefined || sent.restarts !== incarnation.restarts) {
      return;
    }
    const isRestarted = this.isClockRestarted(clockMs, sent);
    this.recordContact(clockMs, sent.atMs);
    if (isRestarted && !incarnation.isRestartSuspected) {
      incarnation.isRestartSuspected = true;
      incarnation.isConfirmed = false;
      void this.refreshRuns();
    }
  }

  /**
   * Asks for the state of the runs, besides a hold that may be waiting: at once, or
   * after one of several others has been answered.
   *
   * @returns Whether the target answered, or the session is closed.
   */
  refreshRuns(): Promise<boolean> {
    if (!this.nextRefresh && this.refreshes < MAX_REFRESHES) {
      return this.sendRefresh();
    }
    this.nextRefresh ??= this.shareNextRefresh();
    return this.nextRefresh;
  }

  private async sendRefresh(): Promise<boolean> {
    this.refreshes++;
    try {
      return await this.hold(false);
    } finally {
      this.refreshes--;
      this.sendNextRefresh?.();
    }
  }

  private async shareNextRefresh(): Promise<boolean> {
    await new Promise<void>(resolve => (this.sendNextRefresh = resolve));
    this.sendNextRefresh = undefined;
    await this.pauseForManyRuns();
    this.nextRefresh = undefined;
    return this.hasClosed || this.sendRefresh();
  }

  private async pauseForManyRuns(): Promise<void> {
    const {size} = this.parts.runs.byTask;
    if (size >= MANY_RUNS) {
      await this.host.clock.sleep(size * PAUSE_PER_RUN_MS);
    }
  }

  /**
   * Continues with a new incarnation, which is asked for its runs before it gets
   * others. Runs that the earlier one has listed have ended with it; the new one
   * may have the others, or may yet get the order to start them.
   *
   * @param bornMs - Time of birth of the new incarnation; 0 if unknown.
   */
  restart(bornMs: number): void {
    const {incarnation, contact, condition, lease, runs} = this.parts;
    incarnation.restart(bornMs);
    lease.resetClock();
    contact.restart();
    condition.restart();
    const {lost, unlisted} = runs.restart();
    this.host.log.emit('targetRestarted', {
      target: incarnation.report.targetId,
      bornMs,
      lost: lost.length,
      unlisted: unlisted.length,
    });
    lease.assumeWholeLease();
    runs.closeLost(lost, 'restarted');
  }

  /**
   * Whether the target has not answered yet or is silent, has a lease to renew,
   * or has an unclaimed run.
   */
  private needsHold(): boolean {
    const {incarnation, contact, runs} = this.parts;
    return (
      !incarnation.isConfirmed ||
      contact.silentSinceMs !== undefined ||
      runs.byTask.size > 0 ||
      runs.hasOrphans
    );
  }

  /**
   * Longest wait of a hold for an end, in milliseconds; short while the target
   * has unclaimed runs, which may be claimed or have to be stopped soon, and if
   * the lease is short.
   *
   * @param leaseEndMs - End of the lease that the hold carries, on the target's
   *   clock, in milliseconds; undefined if it carries none.
   */
  private waitMs(leaseEndMs: number | undefined): number {
    const {timing} = this.host;
    const {lease, runs} = this.parts;
    return runs.hasOrphans
      ? timing.stopMs
      : holdWaitMs(
          leaseEndMs === undefined ? undefined : lease.leftMs(leaseEndMs),
          timing,
        );
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
    const {contact, lease, runs} = this.parts;
    const {silentSinceMs} = contact;
    return (
      lease.isClockKnown &&
      runs.byTask.size > 0 &&
      !runs.hasOrphans &&
      (silentSinceMs === undefined ||
        clock.now() - silentSinceMs < timing.maxLeaseMs)
    );
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
    const {incarnation, runs, lease} = this.parts;
    const isRestarted = incarnation.showsRestart(res, () =>
      this.isClockRestarted(res.clockMs, sent),
    );
    if (isRestarted) {
      this.restart(res.bornMs ?? 0);
    } else if (sent.restarts === incarnation.restarts) {
      runs.recordAcknowledged(acknowledgedEnd);
    }
    incarnation.recordList(res);
    this.recordContact(res.clockMs, sent.atMs);
    runs.setFull(false);
    runs.update(res, sent.atMs);
    if (!incarnation.isConfirmed) {
      incarnation.isConfirmed = true;
      if (runs.hasOrphans) {
        // An earlier scheduler may have granted a whole lease until just now.
        lease.record(lease.newEndMs());
      }
      this.host.onChange();
    }
    if (res.ended.length > 0) {
      this.host.onChange();
    }
  }

  /** Whether the time in an answer can't be of the clock known so far. */
  private isClockRestarted(clockMs: number, sent: SendTime): boolean {
    const {incarnation, lease} = this.parts;
    return (
      sent.restarts === incarnation.restarts &&
      lease.isContradictedBy(clockMs, sent.atMs)
    );
  }

  /** Records an answer of the target. */
  private recordContact(clockMs: number, sentMs: number): void {
    const {incarnation, contact, lease} = this.parts;
    lease.recordReading(clockMs, sentMs);
    contact.recordAnswer();
    if (contact.silentSinceMs !== undefined) {
      this.host.log.emit('targetHeard', {
        target: incarnation.report.targetId,
        silentMs: contact.silentMs,
      });
      contact.markHeard();
      this.host.onChange();
    }
  }

  private markSilent(): void {
    const {incarnation, contact, lease, runs} = this.parts;
    if (contact.markSilent()) {
      this.host.log.emit('targetSilent', {
        target: incarnation.report.targetId,
        runs: runs.byTask.size,
      });
    }
    if (this.host.clock.now() > lease.latestRunEndMs) {
      runs.closeAll(contact.isRefusing ? 'refused' : 'silent');
    }
    this.host.onChange();
  }
}

/** Whether an order was rejected since no connection could be made. */
function isNotSent(reason: OrderRejection): boolean {
  return reason === 'notSent' || reason === 'refused';
}
