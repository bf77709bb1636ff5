import type {Resources, TargetReport, TaskId} from '@papayarun/protocol';
import {addResources} from '@papayarun/protocol';
import type {EndReport} from '../target_port/end_report.js';
import type {HoldResult} from '../target_port/hold_result.js';
import type {OrderRejection} from '../target_port/order_rejection.js';
import type {TargetEndpoint} from '../target_port/target_endpoint.js';
import {remainingMs} from '../remaining_time/remaining_ms.js';
import {TargetClock} from '../target_clock/target_clock.js';
import {nextSlowness} from '../target_pace/next_slowness.js';
import {nextTrust} from '../target_trust/next_trust.js';
import type {TargetTrust} from '../target_trust/target_trust.js';
import type {LaneHost} from './lane_host.js';
import type {RunRecord} from './run_record.js';

/** Share of the longest lease for which a target may wait for an end. */
const HOLD_WAIT_SHARE = 0.3;
/** Pause after an order to hold got no answer, in ms. */
const RETRY_PAUSE_MS = 100;
/** Longest pause while a target without runs does not answer, in ms. */
const MAX_RETRY_PAUSE_MS = 1_600;
/** Time without runs after which ends are acknowledged by themselves, in ms. */
const IDLE_ACK_MS = 200;
/** Time for which a run of an earlier scheduler may be claimed, in ms. */
const ADOPT_MS = 700;
/** Ends that a target lists at once at most. */
const MAX_LISTED_ENDS = 500;
/** Ends of unknown runs that are remembered for a job to claim. */
const MAX_KEPT_ENDS = 256;
/** Extra time before a lease counts as lapsed, in ms. */
const LAPSE_SLACK_MS = 20;

interface Orphan {
  readonly run: number;
  readonly sinceMs: number;
}

/**
 * All that is sent to one incarnation of a target, and what is known of it.
 */
export class TargetLane {
  readonly clock = TargetClock.create();
  readonly runs = new Map<TaskId, RunRecord>();
  trust: TargetTrust = {kind: 'sound'};
  slowness = 1;
  /** Whether it answered to this scheduler's token. */
  isConfirmed = false;
  /** Monotonic time since which it has not answered. */
  silentSinceMs: number | undefined;
  /** Last time that it was heard of, by answers or reports. */
  heardMs: number;
  private isOver = false;
  private isFull = false;
  private seenEnd = 0;
  private acknowledgedEnd = 0;
  /** Own time by which every lease given there has certainly lapsed. */
  private lapsedByMs = 0;
  /** Runs there that this scheduler did not order. */
  private readonly orphans = new Map<TaskId, Orphan>();
  private readonly keptEnds = new Map<TaskId, EndReport>();
  private waker = new AbortController();
  private failuresInRow = 0;

  private constructor(
    private readonly host: LaneHost,
    public report: TargetReport,
  ) {
    this.heardMs = host.clock.now();
  }

  /**
   * Begins to serve a target.
   *
   * @param host - The scheduler.
   * @param report - What the target last said of itself.
   * @returns The lane; its task asks the target for its runs first.
   * @example
   * const lane = TargetLane.create(host, report);
   */
  static create(host: LaneHost, report: TargetReport): TargetLane {
    const lane = new TargetLane(host, report);
    void lane.serve();
    return lane;
  }

  get endpoint(): TargetEndpoint {
    return this.report;
  }

  /** Whether new runs may be ordered. */
  get isOpen(): boolean {
    return (
      !this.isOver &&
      this.isConfirmed &&
      this.silentSinceMs === undefined &&
      this.report.state === 'ready' &&
      this.trust.kind !== 'ejected'
    );
  }

  /** What is free, by the runs that were ordered and not listed as ended. */
  free(): Resources {
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

  /** When its runs are expected to end, the first one first, and their needs. */
  endsAhead(
    nowMs: number,
  ): Array<{readonly atMs: number; readonly freed: Resources}> {
    return [...this.runs.values()]
      .map(run => ({
        atMs: remainingMs(run.expectedMs, nowMs - run.orderedMs),
        freed: run.needs,
      }))
      .sort((a, b) => a.atMs - b.atMs);
  }

  /** Time by which a run that can't be asked about has certainly ended. */
  get certainEndMs(): number {
    return this.lapsedByMs + this.host.timing.stopMs + LAPSE_SLACK_MS;
  }

  /** Takes a newer report of the same incarnation. */
  update(report: TargetReport): void {
    this.heardMs = this.host.clock.now();
    if (report.sequence >= this.report.sequence) {
      this.report = report;
    }
  }

  /** Lets go of the target; nothing more is sent there. */
  end(): void {
    this.isOver = true;
    this.waker.abort();
    this.host.port.release(this.endpoint);
  }

  /** All runs are known to be gone, such as after a restart. */
  loseRuns(): void {
    for (const run of [...this.runs.values()]) {
      this.close(run, 'lapsed');
    }
  }

  /**
   * Orders a run; its outcome comes through the host.
   *
   * @param run - The run, not yet ordered anywhere.
   */
  async start(run: RunRecord): Promise<void> {
    this.runs.set(run.task.taskId, run);
    this.wake();
    this.noteLease(run.leaseEndMs);
    const res = await this.host.port.start(this.endpoint, {
      taskId: run.task.taskId,
      run: run.run,
      spec: run.task.job.job.spec,
      token: this.host.token,
      leaseEndMs: run.leaseEndMs,
    });
    if (this.isOver || this.runs.get(run.task.taskId) !== run) {
      return;
    }
    switch (res.kind) {
      case 'accepted':
        this.confirm(run);
        this.heard(res.clockMs);
        return;
      case 'rejected':
        this.heard(res.clockMs);
        this.rejected(run, res.reason);
        return;
      case 'unknown':
        run.state = run.state === 'starting' ? 'uncertain' : run.state;
        this.host.log.emit('orderUnanswered', {
          taskId: run.task.taskId,
          run: run.run,
          target: this.report.targetId,
          reason: res.reason,
        });
        await this.settle(run);
        return;
      default:
        res satisfies never;
    }
  }

  /**
   * Orders a run to stop, again until it is known to have ended.
   *
   * @param run - A run that was ordered here.
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
   * Claims a run that an earlier scheduler ordered.
   *
   * @param taskId - The task.
   * @returns Its run number or its end, if there is one here.
   */
  adopt(
    taskId: TaskId,
  ):
    | {readonly kind: 'running'; readonly run: number}
    | {readonly kind: 'ended'; readonly end: EndReport}
    | undefined {
    const orphan = this.orphans.get(taskId);
    if (orphan) {
      this.orphans.delete(taskId);
      return {kind: 'running', run: orphan.run};
    }
    const end = this.keptEnds.get(taskId);
    this.keptEnds.delete(taskId);
    return end && {kind: 'ended', end};
  }

  get hasOrphans(): boolean {
    return this.orphans.size > 0;
  }

  /** Whether a run of a task is here that nobody has claimed. */
  knowsOrphan(taskId: TaskId): boolean {
    return this.orphans.has(taskId);
  }

  /** Adds a run that was claimed. */
  attach(run: RunRecord): void {
    this.runs.set(run.task.taskId, run);
    this.wake();
  }

  /** Takes note of how a run went, for trust and pace. */
  learn(event: 'succeeded' | 'failed', ratio?: number): void {
    const before = this.trust.kind;
    this.trust = nextTrust(this.trust, event, this.host.clock.now());
    if (ratio !== undefined) {
      this.slowness = nextSlowness(this.slowness, ratio);
    }
    if (before !== this.trust.kind) {
      this.host.log.emit(
        this.trust.kind === 'ejected' ? 'targetEjected' : 'targetTrust',
        {target: this.report.targetId, trust: this.trust},
      );
    }
  }

  /** Asks what has become of the runs, apart from a hold that waits. */
  async look(): Promise<void> {
    await this.hold(false);
  }

  /** Lets time act on the trust. */
  passTime(): void {
    const before = this.trust;
    this.trust = nextTrust(before, 'timePassed', this.host.clock.now());
    if (before !== this.trust) {
      this.host.changed();
    }
  }

  /** Lease end for a grant that is sent now, on the target's clock. */
  leaseEnd(): number {
    return this.clock.at(this.host.clock.now()) + this.host.timing.maxLeaseMs;
  }

  private async serve(): Promise<void> {
    while (!this.isOver) {
      if (!this.needsHold()) {
        const waker = this.waker.signal;
        await this.host.clock.sleep(IDLE_ACK_MS, waker);
        if (this.runs.size > 0 || this.seenEnd === this.acknowledgedEnd) {
          await this.idle(waker);
          continue;
        }
      }
      if (this.isOver) {
        return;
      }
      const isAnswered = await this.hold(this.runs.size > 0);
      if (!isAnswered) {
        await this.host.clock.sleep(this.retryPauseMs());
      }
    }
  }

  private async idle(waker: AbortSignal): Promise<void> {
    if (!this.needsHold() && !waker.aborted && !this.isOver) {
      await new Promise<void>(resolve =>
        waker.addEventListener('abort', () => resolve(), {once: true}),
      );
    }
  }

  private needsHold(): boolean {
    return !this.isConfirmed || this.runs.size > 0 || this.orphans.size > 0;
  }

  private retryPauseMs(): number {
    if (this.failuresInRow === 1) {
      return 0;
    }
    return this.runs.size > 0
      ? RETRY_PAUSE_MS
      : Math.min(
          MAX_RETRY_PAUSE_MS,
          RETRY_PAUSE_MS * 2 ** Math.min(this.failuresInRow, 8),
        );
  }

  /** Renews the lease, if the clock is known, and takes in both lists. */
  private async hold(mayWait: boolean): Promise<boolean> {
    const {clock, port, token, timing} = this.host;
    const waitMs =
      mayWait &&
      this.isConfirmed &&
      this.orphans.size === 0 &&
      this.failuresInRow === 0
        ? Math.floor(timing.maxLeaseMs * HOLD_WAIT_SHARE)
        : 0;
    const leaseEndMs = this.clock.isKnown ? this.leaseEnd() : undefined;
    if (leaseEndMs !== undefined && this.runs.size > 0) {
      this.noteLease(leaseEndMs);
    }
    const sentMs = clock.now();
    const order = {token, seenEnd: this.seenEnd, leaseEndMs, waitMs};
    const res = await port.hold(this.endpoint, order);
    if (this.isOver) {
      return true;
    }
    switch (res.kind) {
      case 'held':
        this.heard(res.clockMs);
        this.acknowledgedEnd = Math.max(this.acknowledgedEnd, order.seenEnd);
        this.take(res, sentMs);
        return true;
      case 'rejected':
        this.heard(res.clockMs);
        return this.holdRejected(res.reason);
      case 'unknown':
        // One answer may get lost; a target that is asked again and does not
        // answer either is silent.
        if (++this.failuresInRow > 1) {
          this.silent();
        }
        return false;
      default:
        return res satisfies never;
    }
  }

  private holdRejected(reason: OrderRejection): boolean {
    if (reason === 'fenced') {
      this.host.fenced();
      return true;
    }
    if (reason === 'otherIncarnation') {
      this.isConfirmed = false;
      this.loseRuns();
      this.silent();
      return false;
    }
    this.silent();
    return false;
  }

  private take(res: Extract<HoldResult, {kind: 'held'}>, sentMs: number): void {
    this.isFull = false;
    for (const end of res.ended) {
      if (end.number > this.seenEnd) {
        this.seenEnd = end.number;
        this.takeEnd(end);
      }
    }
    const present = new Map(res.running.map(r => [r.taskId, r.run]));
    for (const run of [...this.runs.values()]) {
      if (present.get(run.task.taskId) === run.run) {
        this.confirm(run);
      } else if (
        run.confirmedMs !== undefined &&
        run.confirmedMs < sentMs &&
        res.ended.length < MAX_LISTED_ENDS
      ) {
        this.close(run, 'lapsed');
      }
    }
    this.takeOrphans(present);
    if (!this.isConfirmed) {
      this.isConfirmed = true;
      this.host.changed();
    }
    if (res.ended.length > 0) {
      this.host.changed();
    }
  }

  private takeEnd(end: EndReport): void {
    const run = this.runs.get(end.taskId);
    this.orphans.delete(end.taskId);
    if (run?.run === end.run) {
      this.close(run, end.how);
      return;
    }
    if (!this.isConfirmed || this.orphans.size > 0) {
      this.keptEnds.set(end.taskId, end);
      if (this.keptEnds.size > MAX_KEPT_ENDS) {
        this.keptEnds.delete(this.keptEnds.keys().next().value!);
      }
    }
  }

  /** Keeps runs of an earlier scheduler for a while, then stops them. */
  private takeOrphans(present: ReadonlyMap<TaskId, number>): void {
    const nowMs = this.host.clock.now();
    for (const taskId of [...this.orphans.keys()]) {
      if (!present.has(taskId)) {
        this.orphans.delete(taskId);
      }
    }
    for (const [taskId, run] of present) {
      if (this.runs.get(taskId)?.run === run) {
        continue;
      }
      const orphan = this.orphans.get(taskId);
      if (!orphan) {
        this.orphans.set(taskId, {run, sinceMs: nowMs});
      } else if (nowMs - orphan.sinceMs > ADOPT_MS) {
        const {token} = this.host;
        this.host.log.emit('orphanStopped', {
          taskId,
          run,
          target: this.report.targetId,
        });
        void this.host.port.stop(this.endpoint, {taskId, run, token});
      }
    }
  }

  private rejected(run: RunRecord, reason: OrderRejection): void {
    switch (reason) {
      case 'fenced':
        this.host.fenced();
        return;
      case 'noRoom':
        this.isFull = true;
        break;
      case 'unhealthy':
      case 'notSent':
        this.learn('failed');
        break;
      case 'otherIncarnation':
        this.holdRejected(reason);
        break;
      case 'expired':
      case 'superseded':
      case 'malformed':
        break;
      default:
        reason satisfies never;
    }
    this.drop(run, reason);
    this.wake();
  }

  /** Finds out about a start without an answer, or makes it void. */
  private async settle(run: RunRecord): Promise<void> {
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
    const order = {taskId, run: run.run, token};
    while (!this.isOver && this.runs.get(taskId) === run) {
      const res = await port.stop(this.endpoint, order);
      if (res.kind === 'accepted') {
        // Asked after the stop: a run that began before it is listed.
        const isAnswered = await this.hold(false);
        if (isAnswered && run.confirmedMs === undefined) {
          this.drop(run, 'stopped before it began');
        }
        if (this.runs.get(taskId) === run) {
          await clock.sleep(timing.stopMs);
        }
      } else if (res.kind === 'rejected') {
        if (res.reason === 'fenced') {
          this.host.fenced();
          return;
        }
        if (res.reason === 'otherIncarnation') {
          this.holdRejected(res.reason);
          return;
        }
      }
      if (clock.now() > this.certainEndMs) {
        this.close(run, 'lapsed');
      }
      await clock.sleep(RETRY_PAUSE_MS);
    }
  }

  private confirm(run: RunRecord): void {
    run.confirmedMs ??= this.host.clock.now();
    if (run.state === 'starting' || run.state === 'uncertain') {
      run.state = 'running';
    }
  }

  private close(run: RunRecord, how: EndReport['how']): void {
    if (this.runs.get(run.task.taskId) === run) {
      this.runs.delete(run.task.taskId);
      this.host.ended(run, how);
    }
  }

  private drop(run: RunRecord, reason: string): void {
    if (this.runs.get(run.task.taskId) === run) {
      this.runs.delete(run.task.taskId);
      this.host.notRun(run, reason);
    }
  }

  private noteLease(leaseEndMs: number): void {
    this.lapsedByMs = Math.max(
      this.lapsedByMs,
      this.clock.certainlyReached(leaseEndMs),
    );
  }

  private heard(clockMs: number | undefined): void {
    const nowMs = this.host.clock.now();
    if (clockMs !== undefined) {
      this.clock.read(clockMs, nowMs);
      this.heardMs = nowMs;
      this.failuresInRow = 0;
      if (this.silentSinceMs !== undefined) {
        this.host.log.emit('targetHeard', {
          target: this.report.targetId,
          silentMs: Math.round(nowMs - this.silentSinceMs),
        });
        this.silentSinceMs = undefined;
        this.host.changed();
      }
    }
  }

  private silent(): void {
    const nowMs = this.host.clock.now();
    if (this.silentSinceMs === undefined) {
      this.silentSinceMs = nowMs;
      this.host.log.emit('targetSilent', {
        target: this.report.targetId,
        runs: this.runs.size,
      });
    }
    if (nowMs > this.certainEndMs) {
      this.loseRuns();
    }
    this.host.changed();
  }

  private wake(): void {
    this.waker.abort();
    this.waker = new AbortController();
  }
}
