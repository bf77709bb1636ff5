import type {ScheduledJob} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import type {OrderedRun} from '../_lib/ordered_run.js';
import {mayHaveRun} from '../_lib/may_have_run.js';
import {Sleeper} from '../_lib/sleeper.js';
import type {TaskRecord} from '../_lib/task_record.js';
import {isAllowed} from '../allowed_target/is_allowed.js';
import {isStraggler} from '../is_straggler/is_straggler.js';
import type {LongRun} from '../is_straggler/long_run.js';
import type {JobEnds} from '../job_ends/job_ends.js';
import {refusal} from '../job_ends/refusal.js';
import {lacksTarget} from '../lacking_target/lacks_target.js';
import type {KnownTargets} from '../known_targets/known_targets.js';
import type {OpenJobs} from '../open_jobs/open_jobs.js';
import type {Placement} from '../placement/placement.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import {isOverdue} from './is_overdue.js';
import {jobProblem} from './job_problem.js';

/**
 * Period of the checks for stragglers and passed deadlines, in milliseconds.
 */
const WATCH_PERIOD_MS = 40;
/** Period of the checks while there are no jobs, in milliseconds. */
const IDLE_WATCH_PERIOD_MS = 200;
/**
 * Time before the caller's deadline at which its job is given up, in
 * milliseconds.
 */
const ANSWER_MARGIN_MS = 20;

/** Parts of the scheduler that are checked, or changed by a check. */
interface JobWatchParts {
  readonly targets: KnownTargets;
  readonly openJobs: OpenJobs;
  readonly jobEnds: JobEnds;
  readonly placement: Placement;
}

/**
 * Checks the jobs in progress, their runs and the targets at short intervals:
 * for passed deadlines, stragglers, and targets that are gone.
 */
export class JobWatch {
  private readonly sleeper: Sleeper;
  /** Sessions with a run that has become overdue since the last check. */
  private readonly overdue = new Set<OrderedRun['session']>();

  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: JobWatchParts,
  ) {
    this.sleeper = Sleeper.create(opts.clock);
  }

  /**
   * Creates the part of a scheduler that checks jobs, which does not run yet.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const watch = JobWatch.create(opts, parts);
   * void watch.watchLoop(grant.ending);
   */
  static create(opts: SchedulerOptions, parts: JobWatchParts): JobWatch {
    return new JobWatch(opts, parts);
  }

  /**
   * Checks at short intervals.
   *
   * @param ending - Ends the checks.
   * @returns Resolves when the checks have ended.
   */
  async watchLoop(ending: AbortSignal): Promise<void> {
    const {targets, openJobs, placement} = this.parts;
    while (!ending.aborted) {
      if (openJobs.size === 0) {
        await this.sleeper.sleep(IDLE_WATCH_PERIOD_MS);
      } else {
        await this.opts.clock.sleep(WATCH_PERIOD_MS, ending);
      }
      if (ending.aborted) {
        return;
      }
      const nowMs = this.opts.clock.now();
      for (const record of [...openJobs.values()]) {
        this.checkJob(record, nowMs);
      }
      this.refreshOverdue();
      targets.check(nowMs);
      placement.scheduleIfTargetsChanged();
    }
  }

  /** Ends the pause between two checks while there are no jobs. */
  wake(): void {
    this.sleeper.wake();
  }

  /** Checks sooner if the deadline of a new job could pass before. */
  watchNew(job: ScheduledJob): void {
    if (job.leftMs < IDLE_WATCH_PERIOD_MS) {
      this.sleeper.wake();
    }
  }

  private checkJob(record: JobRecord, nowMs: number): void {
    const {jobEnds} = this.parts;
    // A late answer is still of use, so the job is given up only when its
    // caller is about to stop waiting.
    const leftMs = record.callerDeadlineAtMs - ANSWER_MARGIN_MS - nowMs;
    const problem = jobProblem(record, leftMs, nowMs);
    if (problem) {
      jobEnds.failJob(record, problem);
      return;
    }
    if (record.lacksTarget) {
      this.checkTargets(record, nowMs);
    }
    for (const task of record.tasks) {
      if (record.isConcluded) {
        return;
      }
      if (
        task.state === 'waiting' &&
        record.expectedMs[task.stepIndex]! > leftMs
      ) {
        jobEnds.failJob(record, 'deadline');
      } else if (task.run) {
        this.checkRun(record, task, task.run, nowMs, leftMs);
      }
    }
  }

  /**
   * Refuses a job that still lacks a target when all targets are known. One that
   * may have run goes on until its deadline, since such a target may be added.
   */
  private checkTargets(record: JobRecord, nowMs: number): void {
    const {targets, jobEnds} = this.parts;
    if (targets.isDiscovering(nowMs)) {
      return;
    }
    record.lacksTarget = false;
    if (!mayHaveRun(record) && lacksTarget(record.job, targets)) {
      jobEnds.concludeJob(record, refusal('noTargets'));
    }
  }

  private checkRun(
    record: JobRecord,
    task: TaskRecord,
    run: OrderedRun,
    nowMs: number,
    leftMs: number,
  ): void {
    const {session} = run;
    const usualMs = record.expectedMs[task.stepIndex]!;
    const ranMs = nowMs - run.orderedMs;
    if (!run.isOverdueChecked && isOverdue(run, nowMs)) {
      run.isOverdueChecked = true;
      this.overdue.add(session);
    }
    const mayRepeat = this.parts.targets.evacuationPhase.kind !== 'evacuated';
    if (run.state === 'running' && ranMs > usualMs && mayRepeat) {
      const longRun = this.describeLongRun(record, task, run, nowMs, leftMs);
      if (isStraggler(longRun)) {
        this.stopStraggler(task, run, longRun);
      }
    }
  }

  /**
   * Asks the targets of overdue runs for their runs, since the answer that listed
   * the end of a run may have been lost.
   */
  private refreshOverdue(): void {
    for (const session of this.overdue) {
      void session.refreshRuns();
    }
    this.overdue.clear();
  }

  private describeLongRun(
    record: JobRecord,
    task: TaskRecord,
    run: OrderedRun,
    nowMs: number,
    leftMs: number,
  ): LongRun {
    const {job, expectedMs, longestRunMs} = record;
    const {stepIndex} = task;
    const {session} = run;
    const {needs} = job.steps[stepIndex]!;
    const hasRoomElsewhere = (): boolean =>
      [...this.parts.targets.sessionsInUse()].some(
        other =>
          other !== session &&
          other.isAvailable &&
          isAllowed(record, task, other) &&
          fitsIn(needs, other.freeResources()),
      );
    return {
      ranMs: nowMs - run.orderedMs,
      expectedMs: expectedMs[stepIndex]!,
      isExpectationReliable: this.opts.estimator.hasEnoughSamples(job.kind),
      knownNeedMs: longestRunMs[stepIndex]!,
      isRepeated: task.longestStoppedMs > 0,
      targetQuietMs: nowMs - Math.max(session.lastDoneMs, run.orderedMs),
      isTargetSuspect: session.health.kind !== 'sound',
      // Looked up for few of the long runs, and takes time for each target.
      get hasRoomElsewhere() {
        return hasRoomElsewhere();
      },
      leftMs,
    };
  }

  private stopStraggler(
    task: TaskRecord,
    run: OrderedRun,
    longRun: LongRun,
  ): void {
    const {session} = run;
    const {ranMs, expectedMs, knownNeedMs, targetQuietMs} = longRun;
    task.longestStoppedMs = Math.max(task.longestStoppedMs, ranMs);
    // A target that completed other runs meanwhile isn't blamed for the length
    // of the task.
    if (targetQuietMs >= ranMs) {
      session.recordRunResult('failed', ranMs / expectedMs);
    }
    this.opts.log.emit('stragglerStopped', {
      taskId: task.taskId,
      target: session.report.targetId,
      ranMs: Math.round(ranMs),
      expectedMs: Math.round(expectedMs),
      knownNeedMs: Math.round(knownNeedMs),
      targetQuietMs: Math.round(targetQuietMs),
      isRepeated: longRun.isRepeated,
      isTargetSuspect: longRun.isTargetSuspect,
    });
    void session.stop(run);
  }
}
