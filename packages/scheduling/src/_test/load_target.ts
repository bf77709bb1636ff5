import type {TaskId} from '@papayarun/protocol';
import type {VirtualClock} from '@papayarun/test_kit';
import type {EndReport} from '../target_port/end_report.js';
import type {HoldOrder} from '../target_port/hold_order.js';
import type {HoldResult} from '../target_port/hold_result.js';
import type {OrderResult} from '../target_port/order_result.js';
import type {StartOrder} from '../target_port/start_order.js';
import type {TaskWork} from './task_work.js';

/** Target with limited cores on the virtual clock. */
export class LoadTarget {
  private used = 0;
  private ends: EndReport[] = [];
  private readonly running = new Map<TaskId, number>();
  private number = 0;
  private wake: () => void = () => undefined;

  constructor(
    private readonly clock: VirtualClock,
    readonly cores: number,
    readonly slowness: number,
    private readonly workOf: (taskId: TaskId) => TaskWork,
    private readonly isHung: () => boolean,
  ) {}

  start(order: StartOrder): OrderResult {
    const {cores, workMs} = this.workOf(order.taskId);
    const clockMs = this.clock.now();
    if (this.used + cores > this.cores) {
      return {kind: 'rejected', reason: 'noRoom', clockMs};
    }
    this.used += cores;
    this.running.set(order.taskId, order.run);
    if (this.isHung()) {
      return {kind: 'accepted', clockMs};
    }
    void this.clock.sleep(workMs * this.slowness).then(() => {
      if (this.running.get(order.taskId) === order.run) {
        this.close(order.taskId, 'done');
      }
    });
    return {kind: 'accepted', clockMs};
  }

  close(taskId: TaskId, how: EndReport['how']): void {
    const run = this.running.get(taskId);
    if (run !== undefined) {
      this.running.delete(taskId);
      this.used -= this.workOf(taskId).cores;
      this.ends.push({number: ++this.number, taskId, run, how});
      this.wake();
    }
  }

  async hold(order: HoldOrder): Promise<HoldResult> {
    this.ends = this.ends.filter(end => end.number > order.lastSeenEnd);
    if (this.ends.length === 0 && order.waitMs > 0) {
      const ended = new AbortController();
      this.wake = () => ended.abort();
      await this.clock.sleep(order.waitMs, ended.signal);
    }
    return {
      kind: 'held',
      clockMs: this.clock.now(),
      running: [...this.running].map(([taskId, run]) => ({taskId, run})),
      ended: [...this.ends],
    };
  }
}
