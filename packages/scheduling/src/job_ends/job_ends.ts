import type {
  InstanceId,
  JobFailure,
  JobOutcome,
  JobQuote,
  ScheduledJob,
} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import {mayHaveRun} from '../_lib/may_have_run.js';
import type {PlacedRun} from '../_lib/placed_run.js';
import type {Grant} from '../grant/grant.js';
import {taskCount} from '../job_size/task_count.js';
import type {KnownTargets} from '../known_targets/known_targets.js';
import type {OpenJobs} from '../open_jobs/open_jobs.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import type {WaitingJobs} from '../waiting_jobs/waiting_jobs.js';
import {failedOutcome} from './failed_outcome.js';
import {refusal} from './refusal.js';

/** Parts of the scheduler that the ends of jobs change or report. */
interface JobEndsParts {
  readonly grant: Grant;
  readonly targets: KnownTargets;
  readonly openJobs: OpenJobs;
  readonly waiting: WaitingJobs;
}

/**
 * Ends jobs: removes them from the other records, stops their runs, and reports
 * and returns their outcomes.
 */
export class JobEnds {
  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: JobEndsParts,
  ) {}

  /**
   * Creates the part of a scheduler that ends jobs.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const jobEnds = JobEnds.create(opts, parts);
   */
  static create(opts: SchedulerOptions, parts: JobEndsParts): JobEnds {
    return new JobEnds(opts, parts);
  }

  /** Ends a job that can't be completed, and stops its runs. */
  failJob(record: JobRecord, reason: JobFailure): void {
    if (record.isConcluded) {
      return;
    }
    const nowMs = this.opts.clock.now();
    for (const {run} of record.tasks) {
      if (run) {
        run.abandonedMs = nowMs;
        // Nothing listens any more where the target of a run has crashed.
        if (!run.isCrashRecorded) {
          record.abandonedRuns.add(run);
        }
      }
    }
    this.concludeJob(record, failedOutcome(reason, mayHaveRun(record)));
    for (const {run} of record.tasks) {
      void run?.session.stop(run);
    }
  }

  /** Ends a job with an outcome, which is returned when its runs have ended. */
  concludeJob(record: JobRecord, outcome: JobOutcome): void {
    if (record.isConcluded) {
      return;
    }
    record.isConcluded = true;
    this.parts.openJobs.remove(record);
    this.parts.waiting.remove(record);
    this.reportOutcome(record, outcome);
    if (record.abandonedRuns.size === 0) {
      record.resolveOutcome(outcome);
    } else {
      void this.resolveOnceEnded(record, outcome);
    }
  }

  /**
   * Ends a job that could be admitted, and that others may start earlier. This is
   * not final: the entry compares the quotes of all data centres and may submit the
   * job, or a part of it, again as promised.
   */
  deferNew(record: JobRecord, quote: JobQuote): JobOutcome {
    record.isConcluded = true;
    return refusal('wouldWait', quote);
  }

  /** Ends a job that was not admitted, and reports the refusal. */
  refuseNew(record: JobRecord, outcome: JobOutcome): JobOutcome {
    record.isConcluded = true;
    this.reportOutcome(record, outcome);
    return outcome;
  }

  /** Refuses a job before a record of it is made. */
  refuseForRoom(
    job: ScheduledJob,
    requester: InstanceId | undefined,
  ): JobOutcome {
    const outcome = refusal('tooMany');
    this.opts.onOutcome(job, outcome, 0, undefined);
    this.opts.log.emit('jobRefused', {
      jobId: job.id,
      requester,
      shard: this.opts.shard,
      outcome: outcome.kind,
      reason: 'tooMany',
      kind: job.kind,
      tasks: taskCount(job.steps),
      openTasks: this.parts.openJobs.taskCount,
    });
    return outcome;
  }

  /** Records that a run has ended whose job may wait for it with its outcome. */
  removeAbandonedRun(run: PlacedRun): void {
    const {abandonedRuns, resolveAbandoned} = run.record;
    if (abandonedRuns.delete(run) && abandonedRuns.size === 0) {
      resolveAbandoned?.();
    }
  }

  /**
   * Returns the outcome of a job when its abandoned runs have ended, since its
   * caller may send it again at once, also to another scheduler; at the latest
   * when the caller stops waiting.
   */
  private async resolveOnceEnded(
    record: JobRecord,
    outcome: JobOutcome,
  ): Promise<void> {
    const {clock} = this.opts;
    const leftMs = Math.max(0, record.callerDeadlineAtMs - clock.now());
    record.resolveAbandoned = () => record.resolveOutcome(outcome);
    await clock.sleep(leftMs, this.parts.grant.ending);
    record.resolveOutcome(
      outcome.kind === 'failed' && record.abandonedRuns.size > 0
        ? {...outcome, mayRun: true}
        : outcome,
    );
  }

  private reportOutcome(record: JobRecord, outcome: JobOutcome): void {
    const {job, forecast} = record;
    const tookMs = this.opts.clock.now() - record.receivedMs;
    this.opts.onOutcome(job, outcome, tookMs, forecast);
    this.opts.log.emit(
      outcome.kind === 'refused' ? 'jobRefused' : 'jobScheduled',
      {
        jobId: job.id,
        requester: record.requester,
        shard: this.opts.shard,
        outcome: outcome.kind,
        reason: 'reason' in outcome ? outcome.reason : undefined,
        tookMs: Math.round(tookMs),
        kind: job.kind,
        objectiveMs: Math.round(record.objectiveAtMs - record.receivedMs),
        expectedMs: forecast && Math.round(forecast.endMs),
        freeSlots: forecast?.freeSlots,
        tasks: record.tasks.length,
        done: record.tasks.filter(task => task.state === 'done').length,
        waiting: this.parts.waiting.size,
        targets: this.parts.targets.size,
      },
    );
  }
}
