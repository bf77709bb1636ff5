import type {
  Clock,
  JobId,
  ShardId,
  TargetId,
  TargetReport,
  TaskId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {EmulatedTarget, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {CrashEvidence} from '../crash_evidence/crash_evidence.js';
import type {EvacuationPhase} from '../evacuation_phase/evacuation_phase.js';
import {RunTimeEstimator} from '../run_time_estimator/run_time_estimator.js';
import {Scheduler} from '../scheduler/scheduler.js';
import type {HoldOrder} from '../target_port/hold_order.js';
import type {HoldResult} from '../target_port/hold_result.js';
import type {OrderResult} from '../target_port/order_result.js';
import type {StartOrder} from '../target_port/start_order.js';
import type {StopOrder} from '../target_port/stop_order.js';
import type {TargetEndpoint} from '../target_port/target_endpoint.js';
import type {TargetPort} from '../target_port/target_port.js';
import {reportOf} from './report_of.js';
import type {SchedulerLink} from './scheduler_link.js';
import {CORES, MAX_LEASE_MS, NEEDS, STOP_MS} from './simulation_values.js';

const ORDER_TIMEOUT_MS = 100;
const HOLD_ANSWER_MS = 300;
const SECOND_MS = 1_000;
/** Time from the start of a deadly task to the crash of its target. */
const CRASH_DELAY_MS = 30;
/** Time until an order is refused, longer than that of a hold. */
const REFUSED_ORDER_MS = 5;
const REFUSED = {
  kind: 'rejected',
  reason: 'refused',
  clockMs: undefined,
} as const;

/**
 * Faults between the scheduler and its targets; numbers are shares of the
 * orders.
 */
interface Faults {
  lostAnswers: number;
  /** Orders that get no answer and are carried out later. */
  lateOrders: number;
  /** Shortest delay of a late order, in milliseconds. */
  minLateMs: number;
  /** Longest delay of a late order, in milliseconds. */
  maxLateMs: number;
  /** Whether a late order is carried out by the next incarnation of its target. */
  lateOrdersOutliveTarget: boolean;
  readonly cut: Set<TargetId>;
  /** Targets that have crashed, at whose addresses nothing listens. */
  readonly crashed: Set<TargetId>;
  /** Ports of the targets that have moved; nothing listens at their others. */
  readonly movedTo: Map<TargetId, number>;
  /** Tasks that crash each target that starts them, a moment later. */
  readonly deadly: Set<TaskId>;
}

/**
 * Emulated targets on a virtual clock, with a port that loses and delays
 * orders.
 */
export class TargetSimulation {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly targets = new Map<TargetId, EmulatedTarget>();
  readonly faults: Faults = {
    lostAnswers: 0,
    lateOrders: 0,
    minLateMs: 2 * SECOND_MS,
    maxLateMs: 5 * SECOND_MS,
    lateOrdersOutliveTarget: false,
    cut: new Set(),
    crashed: new Set(),
    movedTo: new Map(),
    deadly: new Set(),
  };
  /** Tasks that ran on each target when it crashed, in the order of the crashes. */
  readonly crashes: TaskId[][] = [];
  readonly concurrentRuns: string[] = [];
  /** Run times of the tasks of some jobs that differ from `runMs`. */
  readonly runMsOfJobs = new Map<JobId, number>();
  /** Number of the next waiting holds that get no answer. */
  holdsToLose = 0;
  /** Holds that were sent to targets. */
  holds = 0;
  dataCentres = 1;
  /** Period in which all targets report to a new scheduler, in milliseconds. */
  reportMs = 0;
  evacuationPhase: EvacuationPhase = {kind: 'inService'};
  /** Targets that the log assigns to another shard. */
  readonly moved = new Set<TargetId>();
  /** Starts on incarnations of targets that have been replaced. */
  private readonly earlierStarts: Array<{readonly taskId: TaskId}> = [];
  /** Tasks that were done on incarnations of targets that have been replaced. */
  private readonly earlierDoneTasks = new Set<TaskId>();
  /** Times of birth of the targets that have restarted. */
  private readonly bornMs = new Map<TargetId, number>();
  private readonly random;
  private readonly evidence: CrashEvidence[] = [];
  private targetCount = 0;

  constructor(
    seed: number,
    readonly runMs = 60,
  ) {
    this.random = SeededRandom.create(seed);
  }

  addTarget(): TargetReport {
    const targetId = `t${++this.targetCount}` as TargetId;
    this.targets.set(targetId, this.createTarget(this.clock));
    return reportOf(targetId);
  }

  /**
   * Replaces a target by a new incarnation without runs, whose clock and counts
   * start anew.
   *
   * @returns Its first report, which nobody has got yet.
   */
  restartTarget(targetId: TargetId): TargetReport {
    const {clock} = this;
    const startedMs = clock.now();
    const earlier = this.targets.get(targetId)!;
    this.earlierStarts.push(...earlier.starts);
    earlier.doneTasks().forEach(taskId => this.earlierDoneTasks.add(taskId));
    const ownClock = {
      now: () => clock.now() - startedMs,
      wallNow: () => clock.wallNow(),
      sleep: (ms: number) => clock.sleep(ms),
    };
    this.targets.set(targetId, this.createTarget(ownClock));
    const bornMs = this.bornMsOf(targetId) + 1;
    this.bornMs.set(targetId, bornMs);
    return {...reportOf(targetId), bornMs};
  }

  private createTarget(clock: Clock): EmulatedTarget {
    return EmulatedTarget.create(
      clock,
      this.random,
      CORES,
      MAX_LEASE_MS,
      taskId =>
        this.runMsOfJobs.get(taskId.split('.')[0] as JobId) ?? this.runMs,
    );
  }

  private bornMsOf(targetId: TargetId): number {
    return this.bornMs.get(targetId) ?? reportOf(targetId).bornMs;
  }

  /**
   * @param ownsMoved - Whether the log assigns the moved targets to its shard.
   * @param link - Link of the scheduler to all targets.
   * @param isFormerActive - Whether it knows the scheduler before it to run.
   */
  scheduler(
    ownsMoved = false,
    link: SchedulerLink = {
      isDown: false,
      isDeaf: false,
      unreachable: new Set(),
    },
    isFormerActive = true,
  ): Scheduler {
    return Scheduler.create({
      targetClient: this.port(link),
      clock: this.clock,
      log: this.log,
      timing: {
        maxLeaseMs: MAX_LEASE_MS,
        stopMs: STOP_MS,
        reportMs: this.reportMs,
      },
      shard: 'centro' as ShardId,
      estimator: RunTimeEstimator.create(),
      crashes: this.crashEvidence(),
      shardCount: () => this.dataCentres,
      evacuationPhase: () => this.evacuationPhase,
      ownsTarget: targetId => this.moved.has(targetId) === ownsMoved,
      isFormerActive: () => isFormerActive,
      loopLagMs: () => 0,
      onFenced: () => undefined,
      onOutcome: () => undefined,
    });
  }

  /** Evidence of one instance, which tells the others. */
  private crashEvidence(): CrashEvidence {
    const evidence = CrashEvidence.create(loss => {
      for (const other of this.evidence) {
        if (other !== evidence) {
          other.recordLoss(loss, this.clock.now());
        }
      }
    });
    this.evidence.push(evidence);
    return evidence;
  }

  startsOf(jobId: JobId): number {
    let count = this.earlierStarts.filter(s =>
      s.taskId.startsWith(jobId),
    ).length;
    for (const target of this.targets.values()) {
      count += target.starts.filter(s => s.taskId.startsWith(jobId)).length;
    }
    return count;
  }

  /** Number of tasks of a job that a run has ended as done. */
  doneTasksOf(jobId: JobId): number {
    const done = new Set(
      [...this.earlierDoneTasks].filter(taskId => taskId.startsWith(jobId)),
    );
    for (const target of this.targets.values()) {
      for (const taskId of target.doneTasks()) {
        if (taskId.startsWith(jobId)) {
          done.add(taskId);
        }
      }
    }
    return done.size;
  }

  private port(link: SchedulerLink): TargetPort {
    const send = async <T>(
      to: TargetEndpoint,
      carryOut: () => Promise<T>,
    ): Promise<T | {readonly kind: 'unknown'; readonly reason: string}> => {
      if (link.isDown) {
        return new Promise<never>(() => undefined);
      }
      const isReached = !link.unreachable.has(to.targetId);
      const res = isReached ? await carryOut() : undefined;
      if (res && !link.isDeaf) {
        return res;
      }
      await this.clock.sleep(ORDER_TIMEOUT_MS);
      return {kind: 'unknown', reason: 'answer lost'};
    };
    return {
      start: (to, order) =>
        send(to, () => this.order(to, t => this.start(t, order))),
      stop: (to, order) => send(to, () => this.order(to, t => stop(t, order))),
      hold: (to, order) => send(to, () => this.hold(to, order)),
      closeConnections: () => undefined,
    };
  }

  private start(target: EmulatedTarget, order: StartOrder): OrderResult {
    const {taskId, run, token, leaseEndMs} = order;
    const before = target.starts.length;
    const wasRunning = target.isRunning(taskId);
    const res = target.start(taskId, run, NEEDS.cores, token, leaseEndMs);
    if (target.starts.length > before) {
      if (wasRunning) {
        this.concurrentRuns.push(taskId);
      }
      this.recordConcurrentRuns(taskId, target);
      if (this.faults.deadly.has(taskId)) {
        void this.clock
          .sleep(CRASH_DELAY_MS)
          .then(() => this.crashTargetOf(taskId));
      }
    }
    return res;
  }

  /** Crashes the target on which a task runs. */
  crashTargetOf(taskId: TaskId): void {
    for (const [targetId, target] of this.targets) {
      if (target.isRunning(taskId)) {
        this.crashes.push([...target.runs.keys()]);
        target.crash();
        this.faults.crashed.add(targetId);
      }
    }
  }

  private recordConcurrentRuns(taskId: TaskId, started: EmulatedTarget): void {
    for (const target of this.targets.values()) {
      if (target !== started && target.isRunning(taskId)) {
        this.concurrentRuns.push(taskId);
      }
    }
  }

  private async order(
    to: TargetEndpoint,
    carryOut: (target: EmulatedTarget) => OrderResult,
  ): Promise<OrderResult> {
    if (this.refuses(to)) {
      await this.clock.sleep(REFUSED_ORDER_MS);
      return REFUSED;
    }
    if (this.faults.cut.has(to.targetId)) {
      await this.clock.sleep(ORDER_TIMEOUT_MS);
      return {kind: 'unknown', reason: 'cut'};
    }
    if (this.random.next() < this.faults.lateOrders) {
      const {minLateMs, maxLateMs} = this.faults;
      const lateMs = minLateMs + (maxLateMs - minLateMs) * this.random.next();
      const receiver = this.targets.get(to.targetId)!;
      void this.clock.sleep(lateMs).then(() => {
        const target = this.targets.get(to.targetId)!;
        if (target === receiver || this.faults.lateOrdersOutliveTarget) {
          carryOut(target);
        }
      });
      await this.clock.sleep(ORDER_TIMEOUT_MS);
      return {kind: 'unknown', reason: 'late'};
    }
    await this.clock.sleep(this.random.next());
    const res = carryOut(this.targets.get(to.targetId)!);
    if (this.random.next() < this.faults.lostAnswers) {
      await this.clock.sleep(ORDER_TIMEOUT_MS);
      return {kind: 'unknown', reason: 'answer lost'};
    }
    await this.clock.sleep(this.random.next());
    return res;
  }

  /** Whether nothing listens at the address of a target. */
  private refuses({targetId, port}: TargetEndpoint): boolean {
    const {crashed, movedTo} = this.faults;
    return crashed.has(targetId) || (movedTo.get(targetId) ?? port) !== port;
  }

  private async hold(
    to: TargetEndpoint,
    order: HoldOrder,
  ): Promise<HoldResult> {
    this.holds++;
    const endMs = this.clock.now() + order.waitMs;
    const hasCrashed = (): boolean =>
      this.refuses(to) || this.targets.get(to.targetId) !== target;
    await this.clock.sleep(1);
    const target = this.targets.get(to.targetId)!;
    if (hasCrashed()) {
      return REFUSED;
    }
    target.hold(order.token, order.lastSeenEnd, order.leaseEndMs);
    while (
      this.clock.now() < endMs &&
      !target.hasEndAfter(order.lastSeenEnd) &&
      !this.faults.cut.has(to.targetId) &&
      !hasCrashed()
    ) {
      await this.clock.sleep(2);
    }
    if (hasCrashed()) {
      return {kind: 'unknown', reason: 'connection reset'};
    }
    const isLost = this.holdsToLose > 0 && order.waitMs > 0;
    if (isLost || this.faults.cut.has(to.targetId)) {
      this.holdsToLose -= isLost ? 1 : 0;
      await this.clock.sleep(endMs - this.clock.now() + HOLD_ANSWER_MS);
      return {kind: 'unknown', reason: 'cut'};
    }
    const res = target.hold(order.token, order.lastSeenEnd, order.leaseEndMs);
    const bornMs = this.bornMsOf(to.targetId);
    return res
      ? {kind: 'held', bornMs, ...res}
      : {kind: 'rejected', reason: 'fenced', clockMs: undefined};
  }
}

function stop(target: EmulatedTarget, order: StopOrder): OrderResult {
  return target.stop(order.taskId, order.run, order.token);
}
