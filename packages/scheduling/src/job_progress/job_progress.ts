import {hasUnplacedTask} from '../_lib/has_unplaced_task.js';
import type {JobRecord} from '../_lib/job_record.js';
import type {PlacedRun} from '../_lib/placed_run.js';
import type {TaskRecord} from '../_lib/task_record.js';
import type {JobEnds} from '../job_ends/job_ends.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import type {WaitingJobs} from '../waiting_jobs/waiting_jobs.js';
import {StepProgress} from './step_progress.js';
import {unblockSteps} from './unblock_steps.js';

/** Parts of the scheduler that the progress of a job changes. */
interface JobProgressParts {
  readonly waiting: WaitingJobs;
  readonly jobEnds: JobEnds;
  readonly schedulePlacement: () => void;
}

/**
 * Moves jobs on when tasks of them are done, or have to run again.
 */
export class JobProgress {
  private readonly steps = new WeakMap<JobRecord, StepProgress>();

  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: JobProgressParts,
  ) {}

  /**
   * Creates the part of a scheduler that moves jobs on.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const progress = JobProgress.create(opts, parts);
   */
  static create(opts: SchedulerOptions, parts: JobProgressParts): JobProgress {
    return new JobProgress(opts, parts);
  }

  /** Lets the steps wait for targets whose earlier steps are done. */
  unblockSteps(record: JobRecord): void {
    unblockSteps(record);
    if (hasUnplacedTask(record)) {
      this.parts.waiting.enqueue(record);
    }
  }

  /** Lets the steps wait for targets that may begin since a task is done. */
  unblockAfter(record: JobRecord, {stepIndex}: TaskRecord): void {
    if (this.stepsOf(record).unblockAfter(stepIndex)) {
      this.parts.waiting.enqueue(record);
    }
  }

  /** Ends a job of which all tasks are done. */
  completeIfDone(record: JobRecord): void {
    if (this.stepsOf(record).isJobDone()) {
      const {samples} = record;
      this.parts.jobEnds.concludeJob(record, {kind: 'completed', samples});
    }
  }

  /** Returns a task to waiting, or fails its job if too little time is left. */
  retryTask(run: PlacedRun, reason: string): void {
    const {record, task} = run;
    const target = run.session.report.targetId;
    const leftMs = record.callerDeadlineAtMs - this.opts.clock.now();
    this.opts.log.emit('taskRetried', {
      taskId: task.taskId,
      run: run.runNumber,
      reason,
      target,
      leftMs: Math.round(leftMs),
    });
    if (record.expectedMs[task.stepIndex]! > leftMs) {
      this.parts.jobEnds.failJob(record, 'deadline');
      return;
    }
    // A target that has ended a higher run takes the next number.
    if (reason !== 'superseded') {
      task.excludedTargets.add(target);
    }
    task.state = 'waiting';
    this.parts.waiting.enqueue(record);
    this.parts.schedulePlacement();
  }

  private stepsOf(record: JobRecord): StepProgress {
    const known = this.steps.get(record);
    if (known) {
      return known;
    }
    const progress = StepProgress.create(record);
    this.steps.set(record, progress);
    return progress;
  }
}
