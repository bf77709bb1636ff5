import type {RunRecord} from '../_lib/run_record.js';
import type {TargetSessionHost} from '../_lib/target_session_host.js';
import type {TargetCondition} from '../target_condition/target_condition.js';
import type {TargetHolds} from '../target_holds/target_holds.js';
import type {TargetIncarnation} from '../target_incarnation/target_incarnation.js';
import type {TargetLease} from '../target_lease/target_lease.js';
import type {OrderRejection} from '../target_port/order_rejection.js';
import type {TargetRuns} from '../target_runs/target_runs.js';

/** Delay before an order to stop is repeated, in milliseconds. */
const RETRY_DELAY_MS = 100;
/**
 * Number of unanswered orders to start from which a target gets no more of them.
 * Orders wait for a few connections, and one that isn't sent in time counts against
 * the target: 10,000 at once ejected all targets.
 */
const MAX_UNANSWERED_STARTS = 64;
/** Number of them from which the target gets orders again. */
const RESUME_UNANSWERED_STARTS = 32;

/** What the orders of a session need of its other parts. */
interface OrderParts<R extends RunRecord> {
  readonly incarnation: TargetIncarnation;
  readonly condition: TargetCondition;
  readonly lease: TargetLease;
  readonly runs: TargetRuns<R>;
  readonly holds: TargetHolds<R>;
  /** Called when the target has seen a higher fencing token. */
  readonly onFenced: () => void;
}

/**
 * Orders to start and stop runs on a target, each followed until it is known
 * what became of the run.
 */
export class RunOrders<R extends RunRecord = RunRecord> {
  private unansweredStarts = 0;
  private hasTooManyUnanswered = false;

  private constructor(
    private readonly host: TargetSessionHost<R>,
    private readonly parts: OrderParts<R>,
  ) {}

  /**
   * Creates the orders of a session.
   *
   * @param host - The scheduler.
   * @param parts - The other parts of the session.
   * @returns The orders.
   * @example
   * const orders = RunOrders.create(host, parts);
   * void orders.start(run);
   */
  static create<R extends RunRecord>(
    host: TargetSessionHost<R>,
    parts: OrderParts<R>,
  ): RunOrders<R> {
    return new RunOrders(host, parts);
  }

  /** Whether so many orders to start are unanswered that no more are to be sent. */
  get hasManyUnanswered(): boolean {
    return this.hasTooManyUnanswered;
  }

  /**
   * Orders a run to start; its result is reported through the host.
   *
   * @param run - The run, which has not been ordered yet.
   */
  async start(run: R): Promise<void> {
    const {incarnation, lease, runs, holds} = this.parts;
    runs.add(run);
    holds.wake();
    lease.record(run.leaseEndMs);
    const sent = holds.sendTime;
    this.recordStartSent();
    const res = await this.host.port.start(incarnation.report, {
      taskId: run.taskId,
      run: run.runNumber,
      spec: run.job.spec,
      token: this.host.token,
      leaseEndMs: run.leaseEndMs,
    });
    this.recordStartSettled();
    if (holds.isClosed || !runs.has(run)) {
      return;
    }
    switch (res.kind) {
      case 'accepted':
        runs.confirm(run);
        holds.recordOrderAnswer(res.clockMs, sent);
        return;
      case 'rejected':
        holds.recordOrderAnswer(res.clockMs, sent);
        this.handleStartRejection(run, res.reason);
        return;
      case 'unknown':
        run.state = run.state === 'starting' ? 'uncertain' : run.state;
        this.host.log.emit('orderUnanswered', {
          taskId: run.taskId,
          run: run.runNumber,
          target: incarnation.report.targetId,
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
  async stop(run: R): Promise<void> {
    if (run.state === 'stopping') {
      return;
    }
    run.state = 'stopping';
    this.parts.holds.wake();
    await this.stopUntilEnded(run);
  }

  private recordStartSent(): void {
    this.unansweredStarts++;
    this.hasTooManyUnanswered ||=
      this.unansweredStarts >= MAX_UNANSWERED_STARTS;
  }

  private recordStartSettled(): void {
    this.unansweredStarts--;
    if (
      this.hasTooManyUnanswered &&
      this.unansweredStarts <= RESUME_UNANSWERED_STARTS
    ) {
      this.hasTooManyUnanswered = false;
      this.host.onChange();
    }
  }

  private handleStartRejection(run: R, reason: OrderRejection): void {
    const {condition, runs, holds, onFenced} = this.parts;
    switch (reason) {
      case 'fenced':
        onFenced();
        return;
      case 'noRoom':
        runs.setFull(true);
        break;
      case 'unhealthy':
      case 'notSent':
      case 'refused':
        condition.recordRunResult('failed');
        break;
      case 'otherIncarnation':
        // This run did not start on the incarnation that was lost.
        runs.discard(run, reason);
        holds.handleHoldRejection(reason);
        break;
      case 'expired':
      case 'superseded':
      case 'malformed':
        break;
      default:
        reason satisfies never;
    }
    runs.discard(run, reason);
    holds.wake();
  }

  /**
   * Checks whether an unanswered start took effect, and stops the run if it is
   * not listed.
   */
  private async resolveUncertainStart(run: R): Promise<void> {
    await this.parts.holds.refreshRuns();
    if (run.state !== 'uncertain' || !this.parts.runs.has(run)) {
      return;
    }
    await this.stopUntilEnded(run);
  }

  private async stopUntilEnded(run: R): Promise<void> {
    const {clock, port, timing, token} = this.host;
    const {incarnation, lease, runs, holds, onFenced} = this.parts;
    const order = {taskId: run.taskId, run: run.runNumber, token};
    while (!holds.isClosed && runs.has(run)) {
      const {restarts} = incarnation;
      const res = await port.stop(incarnation.report, order);
      if (res.kind === 'accepted') {
        // A run that began before the stop is listed in the answer to this
        // hold, since it is sent after the stop was accepted.
        const isAnswered = await holds.refreshRuns();
        const isBarred = isAnswered && restarts === incarnation.restarts;
        if (isBarred && run.confirmedMs === undefined) {
          runs.closeUnstarted(run);
        }
        if (runs.has(run)) {
          await clock.sleep(timing.stopMs);
        }
      } else if (res.kind === 'rejected') {
        if (res.reason === 'fenced') {
          onFenced();
          return;
        }
        if (res.reason === 'otherIncarnation') {
          holds.handleHoldRejection(res.reason);
          return;
        }
      }
      if (clock.now() > lease.latestRunEndMs) {
        runs.close(run, 'lapsed');
      }
      await clock.sleep(RETRY_DELAY_MS);
    }
  }
}
