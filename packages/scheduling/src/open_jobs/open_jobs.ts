import type {JobId, ScheduledJob} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import {jobSizeProblem} from '../job_size/job_size_problem.js';
import {taskCount} from '../job_size/task_count.js';

/** Most tasks of the jobs in progress, which bounds the memory of their records. */
const MAX_OPEN_TASKS = 100_000;

/**
 * Jobs that were admitted and have not ended.
 */
export class OpenJobs {
  private readonly byKey = new Map<string, JobRecord>();
  private openTasks = 0;

  private constructor() {}

  /**
   * Creates an empty record.
   *
   * @returns The record.
   * @example
   * const openJobs = OpenJobs.create();
   */
  static create(): OpenJobs {
    return new OpenJobs();
  }

  /** Number of jobs, and of parts of split jobs. */
  get size(): number {
    return this.byKey.size;
  }

  /** Number of tasks of the jobs. */
  get taskCount(): number {
    return this.openTasks;
  }

  /** The jobs in the order of admission. */
  values(): IterableIterator<JobRecord> {
    return this.byKey.values();
  }

  /** The job with a key; undefined if there is none. */
  get(key: string): JobRecord | undefined {
    return this.byKey.get(key);
  }

  /** Jobs and parts of a job with an id. */
  withId(jobId: JobId): JobRecord[] {
    return [...this.byKey.values()].filter(({job}) => job.id === jobId);
  }

  /** Adds an admitted job. */
  add(record: JobRecord): void {
    this.byKey.set(record.key, record);
    this.openTasks += record.tasks.length;
  }

  /** Removes a job that has ended, if it was admitted. */
  remove(record: JobRecord): void {
    if (this.byKey.delete(record.key)) {
      this.openTasks -= record.tasks.length;
    }
  }

  /** Whether the records of a job's tasks would take too much memory. */
  hasNoRoomFor({isPromised, steps}: ScheduledJob): boolean {
    return (
      jobSizeProblem(steps) !== undefined ||
      (!isPromised && this.openTasks + taskCount(steps) > MAX_OPEN_TASKS)
    );
  }
}
