import type {JobFailure, TaskId} from '@papayarun/protocol';
import type {PlacedRun} from '../_lib/placed_run.js';
import type {EarlierRuns} from '../earlier_runs/earlier_runs.js';
import type {JobEnds} from '../job_ends/job_ends.js';
import type {JobProgress} from '../job_progress/job_progress.js';
import type {OpenRuns} from '../open_runs/open_runs.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import type {RunEnd} from '../target_port/run_end.js';

/** Most run time samples in an outcome. */
const MAX_OUTCOME_SAMPLES = 2;

/** Parts of the scheduler that the end of a run changes. */
interface RunEndsParts {
  readonly openRuns: OpenRuns;
  readonly earlierRuns: EarlierRuns;
  readonly progress: JobProgress;
  readonly jobEnds: JobEnds;
  readonly schedulePlacement: () => void;
}

/**
 * Handles the ends of runs: what they say of the task, its job, its kind and its
 * target.
 */
export class RunEnds {
  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: RunEndsParts,
  ) {}

  /**
   * Creates the part of a scheduler that handles the ends of runs.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const runEnds = RunEnds.create(opts, parts);
   */
  static create(opts: SchedulerOptions, parts: RunEndsParts): RunEnds {
    return new RunEnds(opts, parts);
  }

  /** Handles a run that has ended, or whose lease has expired. */
  handleRunEnded(run: PlacedRun, how: RunEnd): void {
    const {record, task, session} = run;
    this.removeOpenRun(run);
    record.hasStarted = true;
    if (how === 'done') {
      session.recordDone();
      this.parts.earlierRuns.recordDone(run.job.id, task.taskId);
    }
    if (how === 'done' && run.abandonedMs === undefined && !run.isAdopted) {
      this.recordRunTime(run);
    } else if (how === 'failed') {
      session.recordRunResult('failed');
    } else if (how === 'targetCrashed') {
      this.recordCrash(run);
    }
    this.parts.schedulePlacement();
    if (run.abandonedMs !== undefined) {
      this.logAbandonedRun(run, how, run.abandonedMs);
      return;
    }
    if (task.run !== run || record.isConcluded) {
      return;
    }
    task.run = undefined;
    const {progress, jobEnds} = this.parts;
    if (how === 'done') {
      task.state = 'done';
      progress.unblockAfter(record, task);
      progress.completeIfDone(record);
      return;
    }
    if (how === 'failed' && ++task.failures >= run.job.maxAttempts) {
      jobEnds.failJob(record, 'taskFailed');
      return;
    }
    const crashFailure =
      how === 'targetCrashed' ? this.crashFailure(run) : undefined;
    if (crashFailure) {
      jobEnds.failJob(record, crashFailure);
      return;
    }
    progress.retryTask(run, how);
  }

  /** Handles a run whose order to start was certainly not carried out. */
  handleRunNotStarted(run: PlacedRun, reason: string): void {
    const {record, task} = run;
    this.removeOpenRun(run);
    this.parts.schedulePlacement();
    if (
      run.abandonedMs !== undefined ||
      task.run !== run ||
      record.isConcluded
    ) {
      return;
    }
    task.run = undefined;
    this.parts.progress.retryTask(run, reason);
  }

  /**
   * Counts the crash of a target under its runs as soon as nothing listens there,
   * while they may be started elsewhere only after their lease.
   */
  handleRefusing(runs: ReadonlyMap<TaskId, PlacedRun>): void {
    for (const run of [...runs.values()]) {
      this.recordCrash(run);
      const {record} = run;
      const failure = run.isCrashRecorded ? this.crashFailure(run) : undefined;
      if (failure && !record.isConcluded) {
        this.parts.jobEnds.failJob(record, failure);
      }
    }
  }

  /** Forgets a run that has ended or can no longer exist. */
  removeOpenRun(run: PlacedRun): void {
    this.parts.jobEnds.removeAbandonedRun(run);
    this.parts.openRuns.remove(run);
  }

  /** Records the run time of a task for its job, its kind and its target. */
  private recordRunTime(run: PlacedRun): void {
    const {record, task, session} = run;
    const {job, expectedMs, samples, longestRunMs} = record;
    const {stepIndex} = task;
    const ranMs = this.opts.clock.now() - (run.confirmedMs ?? run.orderedMs);
    const declaredMs = job.steps[stepIndex]!.estimateMs;
    const sample = {declaredMs, ranMs: ranMs / session.slowness};
    longestRunMs[stepIndex] = Math.max(longestRunMs[stepIndex]!, ranMs);
    this.opts.estimator.addSample(job.kind, declaredMs, sample.ranMs);
    if (samples.length < MAX_OUTCOME_SAMPLES) {
      samples.push(sample);
    }
    session.recordRunResult(
      'succeeded',
      ranMs / Math.max(1, expectedMs[stepIndex]!),
    );
  }

  private recordCrash(run: PlacedRun): void {
    // An order that is still on its way may find the target gone already.
    const mayHaveBegun =
      run.confirmedMs !== undefined || run.state === 'uncertain';
    if (mayHaveBegun && !run.isCrashRecorded) {
      run.isCrashRecorded = true;
      const {job, taskId} = run;
      const nowMs = this.opts.clock.now();
      this.opts.crashes.recordCrash(job.kind, taskId, nowMs);
    }
  }

  /** Why a task whose target has crashed isn't started again, if it isn't. */
  private crashFailure({taskId, job}: PlacedRun): JobFailure | undefined {
    const {crashes, clock} = this.opts;
    if (crashes.isGivenUp(taskId)) {
      return 'targetLost';
    }
    return crashes.isKindSuspect(job.kind, clock.now())
      ? 'kindSuspected'
      : undefined;
  }

  private logAbandonedRun(
    run: PlacedRun,
    how: RunEnd,
    abandonedMs: number,
  ): void {
    this.opts.log.emit('abandonedRunEnded', {
      taskId: run.taskId,
      run: run.runNumber,
      target: run.session.report.targetId,
      how,
      afterMs: Math.round(this.opts.clock.now() - abandonedMs),
    });
  }
}
