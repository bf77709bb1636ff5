import type {ScheduledJob} from '@papayarun/protocol';
import {createJobRecord} from '../_lib/create_job_record.js';
import type {JobRecord} from '../_lib/job_record.js';
import {slotFreeTimes} from '../_lib/slot_free_times.js';
import {totalSlots} from '../_lib/total_slots.js';
import {admitJob} from '../admit_job/admit_job.js';
import type {Admission} from '../admit_job/admission.js';
import {expectedEnds} from '../expected_ends/expected_ends.js';
import {lacksTarget} from '../lacking_target/lacks_target.js';
import type {KnownTargets} from '../known_targets/known_targets.js';
import type {LoadMeter} from '../load_meter/load_meter.js';
import {reservedSlots} from '../reserved_slots/reserved_slots.js';
import {unreservedSlots} from '../reserved_slots/unreserved_slots.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import type {WaitingJobs} from '../waiting_jobs/waiting_jobs.js';
import {updateYieldTimes} from '../yield_times/update_yield_times.js';

/**
 * Multiple of a job's objective after which its end is too late for the job to
 * be admitted.
 */
const USEFUL_TIME_FACTOR = 1.5;

/** Parts of the scheduler that the admission reads. */
interface JobAdmissionParts {
  readonly targets: KnownTargets;
  readonly waiting: WaitingJobs;
  readonly loadMeter: LoadMeter;
}

/**
 * Forecasts the ends of new jobs, and decides whether they are admitted.
 */
export class JobAdmission {
  /** Number of records that were made. */
  private sequence = 0;

  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: JobAdmissionParts,
  ) {}

  /**
   * Creates the part of a scheduler that admits jobs.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const admission = JobAdmission.create(opts, parts);
   */
  static create(
    opts: SchedulerOptions,
    parts: JobAdmissionParts,
  ): JobAdmission {
    return new JobAdmission(opts, parts);
  }

  /**
   * Creates the record of a job, which is not admitted by this.
   *
   * @param job - The job.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The record, and the number of slots for its tasks.
   */
  prepareRecord(
    job: ScheduledJob,
    nowMs: number,
  ): {
    readonly record: JobRecord;
    readonly slots: number;
  } {
    const expectedMs = job.steps.map(step =>
      this.opts.estimator.estimateMs(job.kind, step.estimateMs),
    );
    const sequence = ++this.sequence;
    const slots = totalSlots(job, this.parts.targets.values());
    // The objective depends on the slots of the whole service. All shards are
    // assumed to have as many as this one.
    const serviceSlots = slots * Math.max(1, this.opts.shardCount());
    const record = createJobRecord(
      job,
      expectedMs,
      sequence,
      serviceSlots,
      nowMs,
    );
    record.slots = slots;
    updateYieldTimes(record);
    return {record, slots};
  }

  /**
   * Whether no target will run a step of a job, as far as is known. While targets
   * are still being discovered, the job is marked for another check instead.
   *
   * @param record - The job, of which nothing has begun.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns True if it has to be refused.
   */
  isUnservable(record: JobRecord, nowMs: number): boolean {
    const {targets} = this.parts;
    record.lacksTarget = lacksTarget(record.job, targets);
    return record.lacksTarget && !targets.isDiscovering(nowMs);
  }

  /**
   * Decides whether a job is admitted, and records the forecast in it.
   *
   * @param record - The job.
   * @param slots - Number of slots for its tasks.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The decision.
   */
  decideAdmission(record: JobRecord, slots: number, nowMs: number): Admission {
    const {job, expectedMs} = record;
    const {targets, waiting, loadMeter} = this.parts;
    const aheadMs = waiting.runTimesAheadMs(record, nowMs);
    const ownMs = record.tasks.map(task => expectedMs[task.stepIndex]!);
    const urgentSlots = loadMeter.loadAbove(job.priority, nowMs);
    const reserved = reservedSlots({
      urgentSlots,
      busySlots: loadMeter.loadAbove(Infinity, nowMs),
      totalSlots: slots,
    });
    const tasks = aheadMs.length + ownMs.length;
    const slotFreeMs = slotFreeTimes(
      job,
      targets.sessionsInUse(),
      nowMs,
      tasks,
      tasks + Math.ceil(reserved),
    );
    const endsMs = expectedEnds(
      unreservedSlots(slotFreeMs, reserved),
      aheadMs,
      ownMs,
    );
    record.forecast = {
      endMs: Math.max(...endsMs),
      freeSlots: slotFreeMs.filter(ms => ms === 0).length,
    };
    return admitJob({
      slots,
      criticalPathMs: record.criticalPathMs,
      endsMs,
      urgentShare: urgentSlots / Math.max(1, slots),
      objectiveTimeLeftMs: record.objectiveAtMs - nowMs,
      // Counted from now, since a job may have waited for this scheduler to
      // take over.
      usefulTimeLeftMs:
        USEFUL_TIME_FACTOR *
        (record.objectiveAtMs - record.receivedMs + job.ageMs),
      callerTimeLeftMs: record.callerDeadlineAtMs - nowMs,
      loopLagMs: this.opts.loopLagMs(),
      waitingJobs: waiting.size,
      isDiscoveringTargets: targets.isDiscovering(nowMs),
    });
  }

  /** Records the work of an admitted job. */
  recordLoad({job, tasks, expectedMs}: JobRecord, nowMs: number): void {
    const workMs = tasks.reduce((sum, t) => sum + expectedMs[t.stepIndex]!, 0);
    this.parts.loadMeter.add(job.priority, workMs, nowMs);
  }
}
