import type {TaskId} from '@papayarun/protocol';
import type {EndReport} from '../target_port/end_report.js';

/** Number of ends of unknown runs from which old ones are dropped. */
const MIN_ENDS = 256;
/**
 * Shortest time for which an end is kept until a job claims it, in milliseconds;
 * longer than jobs are handed over.
 */
const END_MEMORY_MS = 5_000;
/** Most ends that are kept, however recent they are. */
const MAX_ENDS = 4_096;

/** Run on a target that this scheduler did not order. */
interface UnclaimedRun {
  readonly runNumber: number;
  /** Monotonic time at which the run was first listed, in milliseconds. */
  readonly firstSeenMs: number;
}

/**
 * Runs of earlier schedulers on a target, and their ends, until a job claims
 * them.
 */
export class UnclaimedRuns {
  private readonly runs = new Map<TaskId, UnclaimedRun>();
  /** In the order in which they became known. */
  private readonly ends = new Map<
    TaskId,
    {readonly end: EndReport; readonly atMs: number}
  >();

  private constructor() {}

  /**
   * Creates an empty record.
   *
   * @returns The record.
   * @example
   * const unclaimed = UnclaimedRuns.create();
   */
  static create(): UnclaimedRuns {
    return new UnclaimedRuns();
  }

  /** Number of runs in progress. */
  get size(): number {
    return this.runs.size;
  }

  /** Whether a run of a task is in progress. */
  has(taskId: TaskId): boolean {
    return this.runs.has(taskId);
  }

  /** Run of a task in progress, if there is one. */
  get(taskId: TaskId): UnclaimedRun | undefined {
    return this.runs.get(taskId);
  }

  /** Records a run that was listed for the first time. */
  add(taskId: TaskId, runNumber: number, firstSeenMs: number): void {
    this.runs.set(taskId, {runNumber, firstSeenMs});
  }

  /** Removes the run of a task in progress; false if there is none. */
  delete(taskId: TaskId): boolean {
    return this.runs.delete(taskId);
  }

  /** Removes the runs of tasks that a list doesn't contain. */
  keepOnly(present: ReadonlyMap<TaskId, number>): void {
    for (const taskId of [...this.runs.keys()]) {
      if (!present.has(taskId)) {
        this.runs.delete(taskId);
      }
    }
  }

  /** Removes the runs in progress; the ends are kept. */
  clear(): void {
    this.runs.clear();
  }

  /**
   * Records the end of a run; the oldest ends are dropped.
   *
   * @param end - The end, as its target lists it.
   * @param nowMs - Monotonic time in milliseconds.
   */
  addEnd(end: EndReport, nowMs: number): void {
    this.ends.delete(end.taskId);
    this.ends.set(end.taskId, {end, atMs: nowMs});
    for (const [taskId, {atMs}] of this.ends) {
      const {size} = this.ends;
      const isOld = nowMs - atMs >= END_MEMORY_MS;
      if (size <= MIN_ENDS || (!isOld && size <= MAX_ENDS)) {
        break;
      }
      this.ends.delete(taskId);
    }
  }

  /**
   * Removes the run or the end of a task, for a job that claims it.
   *
   * @param taskId - The task.
   * @returns The number of the run or its end; undefined if neither is known.
   */
  claim(
    taskId: TaskId,
  ):
    | {readonly kind: 'running'; readonly run: number}
    | {readonly kind: 'ended'; readonly end: EndReport}
    | undefined {
    const run = this.runs.get(taskId);
    if (run) {
      this.runs.delete(taskId);
      return {kind: 'running', run: run.runNumber};
    }
    const end = this.ends.get(taskId)?.end;
    this.ends.delete(taskId);
    return end && {kind: 'ended', end};
  }
}
