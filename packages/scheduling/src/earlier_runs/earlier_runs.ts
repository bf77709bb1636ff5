import type {InstanceId, JobId, TargetId, TaskId} from '@papayarun/protocol';
import {DoneTasks} from '../_lib/done_tasks.js';
import type {JobRecord} from '../_lib/job_record.js';
import type {JobProgress} from '../job_progress/job_progress.js';
import type {KnownTargets} from '../known_targets/known_targets.js';
import type {OpenJobs} from '../open_jobs/open_jobs.js';
import type {OpenRuns} from '../open_runs/open_runs.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';

/** Parts of the scheduler that know of earlier runs or are told of them. */
interface EarlierRunsParts {
  readonly targets: KnownTargets;
  readonly openJobs: OpenJobs;
  readonly openRuns: OpenRuns;
  readonly progress: JobProgress;
  readonly schedulePlacement: () => void;
}

/**
 * Runs of a job's tasks by earlier submissions of it or by earlier schedulers,
 * so that no task is started that runs or is done.
 */
export class EarlierRuns {
  private readonly doneTasks: DoneTasks;

  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: EarlierRunsParts,
  ) {
    this.doneTasks = DoneTasks.create(opts.clock);
  }

  /**
   * Creates the part of a scheduler that knows of earlier runs.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const earlierRuns = EarlierRuns.create(opts, parts);
   */
  static create(opts: SchedulerOptions, parts: EarlierRunsParts): EarlierRuns {
    return new EarlierRuns(opts, parts);
  }

  /** Records that a run has completed a task. */
  recordDone(jobId: JobId, taskId: TaskId): void {
    this.doneTasks.add(jobId, taskId);
  }

  /**
   * Applies what is known of the tasks from earlier submissions of their job.
   *
   * @returns Whether anything is known.
   */
  recallEarlierRuns(record: JobRecord): boolean {
    let isRecalled = false;
    for (const task of record.tasks) {
      const isDone = this.doneTasks.has(record.job.id, task.taskId);
      task.state = isDone ? 'done' : task.state;
      isRecalled ||= isDone || this.parts.openRuns.has(task.taskId);
    }
    if (isRecalled) {
      record.hasStarted = true;
      this.logSentAgain(record, 'recalled', record.requester);
    }
    return isRecalled;
  }

  /** Logs a job that has been submitted before. */
  logSentAgain(
    {job, tasks}: JobRecord,
    how: 'joined' | 'recalled',
    requester: InstanceId | undefined,
  ): void {
    const {openRuns} = this.parts;
    this.opts.log.emit('jobSentAgain', {
      jobId: job.id,
      requester,
      shard: this.opts.shard,
      how,
      tasks: tasks.length,
      done: tasks.filter(task => task.state === 'done').length,
      running: tasks.filter(({taskId}) => openRuns.has(taskId)).length,
    });
  }

  /**
   * Marks tasks as claimed if an earlier scheduler's run of them is on a
   * target.
   */
  markOrphansClaimed(record: JobRecord): void {
    for (const session of this.parts.targets.values()) {
      if (!session.hasOrphans) {
        continue;
      }
      for (const task of record.tasks) {
        if (task.state !== 'done' && session.hasOrphan(task.taskId)) {
          task.state = 'claimed';
          task.claimedTargetId = session.report.targetId;
        }
      }
    }
  }

  /** Takes over claimed tasks whose targets have answered. */
  resolveClaims(record: JobRecord): void {
    const {targets, openRuns, progress} = this.parts;
    let isAnyDone = false;
    for (const task of record.tasks) {
      const session =
        task.state === 'claimed' && task.claimedTargetId !== undefined
          ? targets.get(task.claimedTargetId)
          : undefined;
      if (!session?.isConfirmed) {
        continue;
      }
      const found = session.adopt(task.taskId);
      switch (found?.kind) {
        case 'running': {
          const run = openRuns.createRun(
            record,
            task,
            session,
            found.run,
            true,
          );
          run.state = 'running';
          run.confirmedMs = run.orderedMs;
          task.nextRunNumber = Math.max(task.nextRunNumber, found.run + 1);
          task.state = 'placed';
          task.run = run;
          session.addRun(run);
          break;
        }
        case 'ended':
          task.state = found.end.how === 'done' ? 'done' : 'waiting';
          isAnyDone ||= task.state === 'done';
          task.nextRunNumber = Math.max(task.nextRunNumber, found.end.run + 1);
          break;
        case undefined:
          // An order of the earlier scheduler that has not arrived yet will be
          // rejected, since the target has seen the newer fencing token.
          task.state = 'waiting';
          break;
        default:
          found satisfies never;
      }
      this.opts.log.emit('taskAdopted', {
        taskId: task.taskId,
        target: session.report.targetId,
        state: task.state,
      });
    }
    if (isAnyDone) {
      progress.unblockSteps(record);
    }
    progress.completeIfDone(record);
  }

  /**
   * Marks waiting tasks as done that a run of an earlier submission completed
   * meanwhile. A task waits for as long as such a run may exist.
   */
  resolveEarlierRuns(record: JobRecord): void {
    const {openRuns, progress} = this.parts;
    let isAnyDone = false;
    for (const task of record.tasks) {
      if (task.state !== 'waiting') {
        continue;
      }
      const run = openRuns.get(task.taskId);
      if (run) {
        task.nextRunNumber = Math.max(task.nextRunNumber, run.runNumber + 1);
      } else if (this.doneTasks.has(record.job.id, task.taskId)) {
        task.state = 'done';
        isAnyDone = true;
      }
    }
    if (isAnyDone) {
      progress.unblockSteps(record);
      progress.completeIfDone(record);
    }
  }

  /**
   * Records a run that counted as lapsed, and was done before its lease expired;
   * its target could not tell. A task that still waits is not started again.
   */
  handleEarlierRunDone(target: TargetId, taskId: TaskId): void {
    for (const {job, tasks} of this.parts.openJobs.values()) {
      const task = taskId.startsWith(job.id)
        ? tasks.find(other => other.taskId === taskId)
        : undefined;
      if (task?.state === 'waiting') {
        this.doneTasks.add(job.id, taskId);
        this.opts.log.emit('taskAdopted', {taskId, target, state: 'done'});
        this.parts.schedulePlacement();
      }
    }
  }
}
