import {compareWaitingJobs} from '../_lib/compare_waiting_jobs.js';
import {hasUnplacedTask} from '../_lib/has_unplaced_task.js';
import type {JobRecord} from '../_lib/job_record.js';
import type {TaskRecord} from '../_lib/task_record.js';
import {updateYieldTimes} from '../yield_times/update_yield_times.js';

/**
 * Jobs with unplaced tasks; sorted before each round of placement.
 */
export class WaitingJobs {
  private records: JobRecord[] = [];

  private constructor() {}

  /**
   * Creates an empty list.
   *
   * @returns The list.
   * @example
   * const waiting = WaitingJobs.create();
   */
  static create(): WaitingJobs {
    return new WaitingJobs();
  }

  /** The jobs in the order of the last round; changes replace the list. */
  get list(): readonly JobRecord[] {
    return this.records;
  }

  /** Number of jobs with an unplaced task. */
  get size(): number {
    return this.records.length;
  }

  /** Adds a job that may have an unplaced task, unless it waits or has ended. */
  enqueue(record: JobRecord): void {
    if (record.isConcluded || this.records.includes(record)) {
      return;
    }
    this.records.push(record);
  }

  /** Removes a job that has ended. */
  remove(record: JobRecord): void {
    this.records = this.records.filter(other => other !== record);
  }

  /** Removes the jobs that have no unplaced task any more. */
  removePlaced(): void {
    this.records = this.records.filter(hasUnplacedTask);
  }

  /** Sorts the jobs in the order in which they get slots. */
  sort(nowMs: number): void {
    this.records.forEach(updateYieldTimes);
    this.records.sort((a, b) => compareWaitingJobs(a, b, nowMs));
  }

  /** Age of the oldest job, in milliseconds; 0 if none waits. */
  oldestWaitMs(nowMs: number): number {
    return Math.max(0, ...this.records.map(job => nowMs - job.receivedMs));
  }

  /**
   * Expected run times of the waiting tasks that may get slots before a new job.
   *
   * @description Late jobs count too, though the new one overtakes them: some of them
   * turn out to be in time, and without them more jobs were admitted under overload than
   * could be served.
   *
   * @param record - The new job.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Milliseconds for each task.
   */
  runTimesAheadMs(record: JobRecord, nowMs: number): number[] {
    const aheadMs: number[] = [];
    for (const other of this.records) {
      updateYieldTimes(other);
      if (mayGoFirst(other, record, nowMs)) {
        for (const task of other.tasks) {
          if (task.state === 'waiting') {
            aheadMs.push(other.expectedMs[task.stepIndex]!);
          }
        }
      }
    }
    return aheadMs;
  }

  /** First waiting task that meets a condition, with its job. */
  findTask(
    isMet: (task: TaskRecord) => boolean,
  ): {readonly record: JobRecord; readonly task: TaskRecord} | undefined {
    for (const record of this.records) {
      for (const task of record.tasks) {
        if (task.state === 'waiting' && isMet(task)) {
          return {record, task};
        }
      }
    }
    return undefined;
  }
}

/** Whether a waiting job may get slots before a new one. */
function mayGoFirst(
  other: JobRecord,
  record: JobRecord,
  nowMs: number,
): boolean {
  const yields = other.yieldsUntilMs > nowMs && record.yieldsUntilMs <= nowMs;
  return (
    other !== record &&
    (other.job.priority < record.job.priority ||
      (other.job.priority === record.job.priority && !yields))
  );
}
