import type {JobRecord} from '../_lib/job_record.js';

/**
 * Which steps of a job are done, and which may begin then.
 *
 * @description A task that is done stays so. The checks go on where the last ones
 * ended, so that all checks of a job together take time in proportion to its tasks
 * and to the dependencies between its steps.
 */
export class StepProgress {
  /** Index of the first task of each step; at the end, the number of tasks. */
  private readonly starts: number[] = [0];
  /** Index of the first task that may not be done, by step. */
  private readonly firstOpen: number[];
  /** Number of earlier steps that are known to be done, by step. */
  private readonly doneBefore: number[];
  /** Steps that depend on each step. */
  private readonly later: number[][];
  /** Index of the first step that may not be done. */
  private firstOpenStep = 0;

  private constructor(private readonly record: JobRecord) {
    const {steps} = record.job;
    for (const {count} of steps) {
      this.starts.push(this.starts.at(-1)! + count);
    }
    this.firstOpen = this.starts.slice(0, -1);
    this.doneBefore = steps.map(() => 0);
    this.later = steps.map(() => []);
    steps.forEach(({after}, n) =>
      after.forEach(earlier => this.later[earlier]?.push(n)),
    );
  }

  /**
   * Creates the progress of a job.
   *
   * @param record - The job; its tasks are in the order of the steps.
   * @returns The progress.
   * @example
   * const progress = StepProgress.create(record);
   */
  static create(record: JobRecord): StepProgress {
    return new StepProgress(record);
  }

  /** Whether all tasks of the job are done. */
  isJobDone(): boolean {
    const {steps} = this.record.job;
    while (
      this.firstOpenStep < steps.length &&
      this.isStepDone(this.firstOpenStep)
    ) {
      this.firstOpenStep++;
    }
    return this.firstOpenStep === steps.length;
  }

  /**
   * Marks the tasks as waiting that depended on a step, if it is done and their
   * other earlier steps are as well.
   *
   * @param stepIndex - Step of which a task is done.
   * @returns Whether a task waits now that was blocked.
   */
  unblockAfter(stepIndex: number): boolean {
    let isAnyUnblocked = false;
    if (this.isStepDone(stepIndex)) {
      for (const n of this.later[stepIndex]!) {
        if (this.mayBegin(n)) {
          isAnyUnblocked = this.unblock(n) || isAnyUnblocked;
        }
      }
    }
    return isAnyUnblocked;
  }

  /** Whether all tasks of a step are done; also for a step that doesn't exist. */
  private isStepDone(stepIndex: number): boolean {
    const end = this.starts[stepIndex + 1];
    if (end === undefined) {
      return true;
    }
    const {tasks} = this.record;
    let open = this.firstOpen[stepIndex]!;
    while (open < end && tasks[open]!.state === 'done') {
      open++;
    }
    this.firstOpen[stepIndex] = open;
    return open === end;
  }

  private mayBegin(stepIndex: number): boolean {
    const {after} = this.record.job.steps[stepIndex]!;
    let count = this.doneBefore[stepIndex]!;
    while (count < after.length && this.isStepDone(after[count]!)) {
      count++;
    }
    this.doneBefore[stepIndex] = count;
    return count === after.length;
  }

  private unblock(stepIndex: number): boolean {
    let isAnyUnblocked = false;
    const end = this.starts[stepIndex + 1]!;
    for (let i = this.starts[stepIndex]!; i < end; i++) {
      const task = this.record.tasks[i]!;
      if (task.state === 'blocked') {
        task.state = 'waiting';
        isAnyUnblocked = true;
      }
    }
    return isAnyUnblocked;
  }
}
