import type {
  Clock,
  RandomSource,
  TargetId,
  TargetReport,
  TaskId,
} from '@papayarun/protocol';
import type {EndReport} from '../target_port/end_report.js';
import type {OrderResult} from '../target_port/order_result.js';
import type {StartOrder} from '../target_port/start_order.js';
import type {TargetEndpoint} from '../target_port/target_endpoint.js';
import type {TargetPort} from '../target_port/target_port.js';
import {reportOf} from './report_of.js';

/** Time in which an order arrives or is answered, in milliseconds. */
const WAY_MS = 1;
/** Most ends in the answer to a hold. */
const MAX_LISTED_ENDS = 500;

interface Target {
  /** Number of the run, and the time at which it ends in milliseconds. */
  readonly running: Map<TaskId, {readonly run: number; readonly endMs: number}>;
  ended: EndReport[];
  lastEnd: number;
  unanswered: number;
}

/**
 * Targets that take any number of tasks without needs, or of some slots. An order
 * takes them the same time however many runs they have, so that a test measures the
 * scheduler alone.
 */
export class UnlimitedTargets implements TargetPort {
  /** Number of tasks started more than once. */
  repeated = 0;
  /** Number of orders to start. */
  orders = 0;
  /** Most orders to start of a target that were unanswered at once. */
  mostUnanswered = 0;
  /** Number of runs and ends in the answers to holds. */
  listed = 0;
  private readonly targets = new Map<TargetId, Target>();
  private readonly started = new Set<TaskId>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    /** Longest run time in milliseconds; the shortest is half of it. */
    private readonly runMs: number,
    /** Most runs that a target takes at once. */
    private readonly slots = Infinity,
  ) {}

  addTarget(): TargetReport {
    const targetId = `t${this.targets.size}` as TargetId;
    this.targets.set(targetId, {
      running: new Map(),
      ended: [],
      lastEnd: 0,
      unanswered: 0,
    });
    return reportOf(targetId);
  }

  start: TargetPort['start'] = async (to, order) => {
    const target = this.targetOf(to);
    this.orders++;
    target.unanswered++;
    this.mostUnanswered = Math.max(this.mostUnanswered, target.unanswered);
    const res = await this.carryOut(target, order);
    target.unanswered--;
    return res;
  };

  private async carryOut(
    target: Target,
    {taskId, run}: StartOrder,
  ): Promise<OrderResult> {
    await this.clock.sleep(WAY_MS);
    const {running} = target;
    this.endRuns(target);
    if (running.size >= this.slots) {
      await this.clock.sleep(WAY_MS);
      return {kind: 'rejected', reason: 'noRoom', clockMs: this.clock.now()};
    }
    const endMs =
      this.clock.now() + this.runMs * (0.5 + 0.5 * this.random.next());
    running.set(taskId, {run, endMs});
    this.repeated += Number(this.started.has(taskId));
    this.started.add(taskId);
    await this.clock.sleep(WAY_MS);
    return {kind: 'accepted', clockMs: this.clock.now()};
  }

  stop: TargetPort['stop'] = async (to, {taskId, run}) => {
    await this.clock.sleep(WAY_MS);
    this.end(this.targetOf(to), taskId, run, 'stopped');
    return {kind: 'accepted', clockMs: this.clock.now()};
  };

  hold: TargetPort['hold'] = async (to, {lastSeenEnd, waitMs}) => {
    await this.clock.sleep(WAY_MS);
    const target = this.targetOf(to);
    target.ended = target.ended.filter(({number}) => number > lastSeenEnd);
    const latestMs = this.clock.now() + waitMs;
    this.endRuns(target);
    while (target.ended.length === 0 && this.clock.now() < latestMs) {
      await this.clock.sleep(WAY_MS);
      this.endRuns(target);
    }
    const running = [...target.running].map(([taskId, {run}]) => ({
      taskId,
      run,
    }));
    const ended = target.ended.slice(0, MAX_LISTED_ENDS);
    this.listed += running.length + ended.length;
    const clockMs = this.clock.now();
    await this.clock.sleep(WAY_MS);
    return {kind: 'held', bornMs: 1, clockMs, running, ended};
  };

  closeConnections(): void {
    // There are none.
  }

  private targetOf({targetId}: Pick<TargetEndpoint, 'targetId'>): Target {
    return this.targets.get(targetId)!;
  }

  private endRuns(target: Target): void {
    const nowMs = this.clock.now();
    for (const [taskId, {run, endMs}] of target.running) {
      if (endMs <= nowMs) {
        this.end(target, taskId, run, 'done');
      }
    }
  }

  private end(
    target: Target,
    taskId: TaskId,
    run: number,
    how: EndReport['how'],
  ): void {
    if (target.running.delete(taskId)) {
      target.ended.push({number: ++target.lastEnd, taskId, run, how});
    }
  }
}
