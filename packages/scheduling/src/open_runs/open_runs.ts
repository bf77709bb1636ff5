import type {Clock, JobId, TaskId} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import type {PlacedRun} from '../_lib/placed_run.js';
import type {TargetSession} from '../_lib/target_session.js';
import type {TaskRecord} from '../_lib/task_record.js';
import {MIN_LEASE_SHARE} from '../run_permission/min_lease_share.js';
import {runPermissionEndMs} from '../run_permission/run_permission_end_ms.js';
import type {SchedulerTiming} from '../scheduler/scheduler_timing.js';

/** What the records of runs need of the scheduler's options. */
interface OpenRunsOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly timing: SchedulerTiming;
  readonly requesterHeardMs?: (jobId: JobId) => number | undefined;
}

/**
 * Latest run of each task that is not known to have ended, also of jobs that have
 * ended.
 */
export class OpenRuns {
  private readonly latest = new Map<TaskId, PlacedRun>();

  private constructor(private readonly opts: OpenRunsOptions) {}

  /**
   * Creates an empty record.
   *
   * @param opts - Clock, timing, and when those that wait for jobs were heard.
   * @returns The record.
   * @example
   * const openRuns = OpenRuns.create(opts);
   */
  static create(opts: OpenRunsOptions): OpenRuns {
    return new OpenRuns(opts);
  }

  /** The runs, by task. */
  get byTask(): ReadonlyMap<TaskId, PlacedRun> {
    return this.latest;
  }

  /** Whether a task has a run that is not known to have ended. */
  has(taskId: TaskId): boolean {
    return this.latest.has(taskId);
  }

  /** Run of a task that is not known to have ended. */
  get(taskId: TaskId): PlacedRun | undefined {
    return this.latest.get(taskId);
  }

  /** Whether a task of a job has a run that is not known to have ended. */
  hasRunOf(record: JobRecord): boolean {
    return record.tasks.some(({taskId}) => this.latest.has(taskId));
  }

  /** Removes a run that has ended, unless a later one has replaced it. */
  remove(run: PlacedRun): void {
    if (this.latest.get(run.taskId) === run) {
      this.latest.delete(run.taskId);
    }
  }

  /** Removes all runs. */
  clear(): void {
    this.latest.clear();
  }

  /**
   * Creates the record of a run, which its caller orders or has taken over.
   *
   * @param record - Job of the task.
   * @param task - The task.
   * @param session - Session with the target of the run.
   * @param runNumber - Number of the run.
   * @param isAdopted - Whether an earlier scheduler has ordered it.
   * @param leaseLimitMs - Monotonic time by which the lease of the other runs of
   *   the target has to end.
   * @returns The run.
   */
  createRun(
    record: JobRecord,
    task: TaskRecord,
    session: TargetSession<PlacedRun>,
    runNumber: number,
    isAdopted: boolean,
    leaseLimitMs = session.leaseLimitMs(),
  ): PlacedRun {
    const {job} = record;
    const permittedUntilMs = this.permissionEndMs(job.id);
    const run: PlacedRun = {
      taskId: task.taskId,
      job,
      record,
      task,
      runNumber,
      session,
      needs: job.steps[task.stepIndex]!.needs,
      state: 'starting',
      orderedMs: this.opts.clock.now(),
      confirmedMs: undefined,
      expectedMs: record.expectedMs[task.stepIndex]! * session.slowness,
      leaseEndMs: session.newLeaseEndMs(
        Math.min(permittedUntilMs, leaseLimitMs),
      ),
      permittedUntilMs,
      isListed: isAdopted,
      mayBeLost: false,
      isOverdueChecked: false,
      isAdopted,
      isCrashRecorded: false,
      abandonedMs: undefined,
    };
    this.latest.set(task.taskId, run);
    return run;
  }

  /** Time by which the lease of a job's runs has to end, by what is known now. */
  permissionEndMs(jobId: JobId): number {
    const heardMs = this.opts.requesterHeardMs?.(jobId);
    return heardMs === undefined
      ? Infinity
      : runPermissionEndMs(heardMs, this.opts.timing);
  }

  /** Whether a run that is ordered now would have to end soon. */
  isPermissionShort({job}: JobRecord, nowMs: number): boolean {
    const leftMs = this.permissionEndMs(job.id) - nowMs;
    return leftMs < MIN_LEASE_SHARE * this.opts.timing.maxLeaseMs;
  }
}
