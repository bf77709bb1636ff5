import type {Clock, RandomSource, TaskId} from '@papayarun/protocol';
import type {EmulatedAnswer} from './emulated_answer.js';
import type {EmulatedEnd} from './emulated_end.js';

/**
 * A run on an emulated target.
 */
interface EmulatedRun {
  readonly run: number;
  readonly endsAtMs: number;
  readonly cores: number;
}

/**
 * Target that runs tasks under a lease and a fencing token.
 *
 * @description Keeps the rules that targets promise: the highest token wins, a
 * run that is not higher than one stopped or ended is rejected, everything
 * ends when the lease lapses, ends are listed until they are acknowledged.
 */
export class EmulatedTarget {
  readonly runs = new Map<TaskId, EmulatedRun>();
  /** All starts: task, run and time. */
  readonly starts: Array<{readonly taskId: TaskId; readonly atMs: number}> = [];
  /** Share of the runs that fail, 0 to 1. */
  failRate = 0;
  /** Whether it rejects all starts for want of room. */
  isFull = false;
  /** Factor on run times. */
  slowness = 1;
  private readonly ends: EmulatedEnd[] = [];
  private readonly highestRun = new Map<TaskId, number>();
  private highestToken = 0;
  private leaseEndMs = 0;
  private endNumber = 0;
  private forgottenUpTo = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly cores: number,
    private readonly maxLeaseMs: number,
    private readonly runMsOf: (taskId: TaskId) => number,
  ) {}

  /**
   * Makes a target that runs nothing.
   *
   * @param clock - Time, also of the target's own clock.
   * @param random - Decides which runs fail.
   * @param cores - Its capacity.
   * @param maxLeaseMs - Longest lease that it grants.
   * @param runMsOf - Run time of a task.
   * @returns The target.
   * @example
   * const target = EmulatedTarget.create(clock, random, 32, 1_000, () => 60);
   */
  static create(
    clock: Clock,
    random: RandomSource,
    cores: number,
    maxLeaseMs: number,
    runMsOf: (taskId: TaskId) => number,
  ): EmulatedTarget {
    return new EmulatedTarget(clock, random, cores, maxLeaseMs, runMsOf);
  }

  /** Carries out an order to start. */
  start(
    taskId: TaskId,
    run: number,
    cores: number,
    token: number,
    leaseEndMs: number,
  ): EmulatedAnswer {
    this.settle();
    const nowMs = this.clock.now();
    if (token < this.highestToken) {
      return {kind: 'rejected', reason: 'fenced', clockMs: nowMs};
    }
    this.highestToken = token;
    if (this.runs.get(taskId)?.run === run) {
      return {kind: 'accepted', clockMs: nowMs};
    }
    if (run <= (this.highestRun.get(taskId) ?? 0)) {
      return {kind: 'rejected', reason: 'superseded', clockMs: nowMs};
    }
    if (leaseEndMs <= nowMs) {
      return {kind: 'rejected', reason: 'expired', clockMs: nowMs};
    }
    this.renew(leaseEndMs);
    let used = cores;
    for (const other of this.runs.values()) {
      used += other.cores;
    }
    if (this.isFull || used > this.cores) {
      return {kind: 'rejected', reason: 'noRoom', clockMs: nowMs};
    }
    const endsAtMs = nowMs + this.runMsOf(taskId) * this.slowness;
    this.runs.set(taskId, {run, endsAtMs, cores});
    this.starts.push({taskId, atMs: nowMs});
    return {kind: 'accepted', clockMs: nowMs};
  }

  /** Carries out an order to stop. */
  stop(taskId: TaskId, run: number, token: number): EmulatedAnswer {
    this.settle();
    const clockMs = this.clock.now();
    if (token < this.highestToken) {
      return {kind: 'rejected', reason: 'fenced', clockMs};
    }
    this.highestToken = token;
    const highest = Math.max(run, this.highestRun.get(taskId) ?? 0);
    this.highestRun.set(taskId, highest);
    if (this.runs.get(taskId)?.run === run) {
      this.end(taskId, 'stopped');
    }
    return {kind: 'accepted', clockMs};
  }

  /** Carries out an order to hold; undefined when the token is too low. */
  hold(
    token: number,
    seenEnd: number,
    leaseEndMs: number | undefined,
  ):
    | {
        readonly clockMs: number;
        readonly running: ReadonlyArray<{
          readonly taskId: TaskId;
          readonly run: number;
        }>;
        readonly ended: readonly EmulatedEnd[];
      }
    | undefined {
    this.settle();
    if (token < this.highestToken) {
      return undefined;
    }
    this.highestToken = token;
    if (leaseEndMs !== undefined) {
      this.renew(leaseEndMs);
    }
    this.forgottenUpTo = Math.max(this.forgottenUpTo, seenEnd);
    return {
      clockMs: this.clock.now(),
      running: [...this.runs].map(([taskId, {run}]) => ({taskId, run})),
      ended: this.ends.filter(end => end.number > this.forgottenUpTo),
    };
  }

  /** Whether an end would be listed that is above a number. */
  hasEndAfter(number: number): boolean {
    this.settle();
    return this.endNumber > number;
  }

  /** Whether a task runs at this moment. */
  isRunning(taskId: TaskId): boolean {
    this.settle();
    return this.runs.has(taskId);
  }

  private renew(leaseEndMs: number): void {
    const longest = this.clock.now() + this.maxLeaseMs;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(leaseEndMs, longest));
  }

  /** Lets time act: ends runs that are over, or whose lease has lapsed. */
  private settle(): void {
    const nowMs = this.clock.now();
    for (const [taskId, {endsAtMs}] of [...this.runs]) {
      if (endsAtMs <= Math.min(nowMs, this.leaseEndMs)) {
        const hasFailed = this.random.next() < this.failRate;
        this.end(taskId, hasFailed ? 'failed' : 'done');
      } else if (this.leaseEndMs <= nowMs) {
        this.end(taskId, 'lapsed');
      }
    }
  }

  private end(taskId: TaskId, how: EmulatedEnd['how']): void {
    const {run} = this.runs.get(taskId)!;
    this.runs.delete(taskId);
    const highest = Math.max(run, this.highestRun.get(taskId) ?? 0);
    this.highestRun.set(taskId, highest);
    this.ends.push({number: ++this.endNumber, taskId, run, how});
  }
}
