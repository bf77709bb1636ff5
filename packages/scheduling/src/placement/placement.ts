import type {Resources} from '@papayarun/protocol';
import type {JobRecord} from '../_lib/job_record.js';
import type {PlacedRun} from '../_lib/placed_run.js';
import type {TaskRecord} from '../_lib/task_record.js';
import {isAllowed} from '../allowed_target/is_allowed.js';
import {chooseTarget} from '../choose_target/choose_target.js';
import type {EarlierRuns} from '../earlier_runs/earlier_runs.js';
import type {EvacuationPhase} from '../evacuation_phase/evacuation_phase.js';
import type {Grant} from '../grant/grant.js';
import type {JobEnds} from '../job_ends/job_ends.js';
import type {KnownTargets} from '../known_targets/known_targets.js';
import type {LoadMeter} from '../load_meter/load_meter.js';
import type {OpenRuns} from '../open_runs/open_runs.js';
import {earliestPlace} from '../reservation/earliest_place.js';
import {maxReservations} from '../reservation/max_reservations.js';
import {mayBackfill} from '../reservation/may_backfill.js';
import {spareAfter} from '../reservation/spare_after.js';
import {reservedSlots} from '../reserved_slots/reserved_slots.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import type {WaitingJobs} from '../waiting_jobs/waiting_jobs.js';
import {countSlots} from './count_slots.js';
import type {SessionCandidate} from './session_candidate.js';

/**
 * Interval at which jobs are tried again whose runs elsewhere may go on, in
 * milliseconds.
 */
const OTHER_RUN_CHECK_MS = 20;
/**
 * Most tasks placed in one turn of the event loop. Each sends an order, and what
 * arrives meanwhile waits.
 */
const MAX_PLACED_PER_ROUND = 128;
/**
 * Number of tasks of a job from which a round that looks at them is followed by a
 * pause. The answer to each order of such a job may ask for a round.
 */
const LARGE_JOB_TASKS = 1_000;
/**
 * Pause after a round for each task of the large jobs that wait, in milliseconds;
 * several times as long as the round takes for it.
 */
const PAUSE_PER_TASK_MS = 0.0005;

/** Parts of the scheduler that the placement reads or changes. */
interface PlacementParts {
  readonly grant: Grant;
  readonly targets: KnownTargets;
  readonly waiting: WaitingJobs;
  readonly openRuns: OpenRuns;
  readonly earlierRuns: EarlierRuns;
  readonly jobEnds: JobEnds;
  readonly loadMeter: LoadMeter;
}

/**
 * Places waiting tasks on targets, in rounds.
 */
export class Placement {
  private isPlacementDue = false;
  /** Whether the last round has left tasks to the next one. */
  private isNextRoundDue = false;
  /** Whether a round is put off until the pause after the last one has ended. */
  private isPaused = false;
  private isRoundPutOff = false;
  private isOtherRunCheckDue = false;
  /** Whether a target gets no new run until those that wait for one are heard. */
  private isLeaseShort = false;
  /** Number of targets that are reserved in this round. */
  private reservedCount = 0;
  /** Phase of the last round. */
  private placedInPhase: EvacuationPhase['kind'] = 'inService';

  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly parts: PlacementParts,
  ) {}

  /**
   * Creates the part of a scheduler that places tasks.
   *
   * @param opts - Options of the scheduler.
   * @param parts - The other parts.
   * @returns The part.
   * @example
   * const placement = Placement.create(opts, parts);
   * placement.placeWaitingTasks();
   */
  static create(opts: SchedulerOptions, parts: PlacementParts): Placement {
    return new Placement(opts, parts);
  }

  /** Places waiting tasks once after all changes of this turn. */
  schedulePlacement(): void {
    if (!this.isPlacementDue) {
      this.isPlacementDue = true;
      queueMicrotask(() => {
        this.isPlacementDue = false;
        this.placeWaitingTasks();
      });
    }
  }

  /**
   * Places waiting tasks if time alone has changed which targets may be used:
   * those that wait for runs may have been heard, or the phase has changed.
   */
  scheduleIfTargetsChanged(): void {
    if (this.isLeaseShort || this.hasPhaseChanged()) {
      this.schedulePlacement();
    }
  }

  /** Places waiting tasks, in the order of their jobs. */
  placeWaitingTasks(): void {
    const {grant, targets, waiting, openRuns, loadMeter} = this.parts;
    if (
      grant.token === undefined ||
      waiting.size === 0 ||
      this.isNextRoundDue
    ) {
      return;
    }
    if (this.isPaused) {
      this.isRoundPutOff = true;
      return;
    }
    this.placedInPhase = targets.evacuationPhase.kind;
    if (this.placedInPhase === 'evacuated') {
      this.failWaitingTasks();
      return;
    }
    const candidates = this.availableCandidates();
    const nowMs = this.opts.clock.now();
    waiting.sort(nowMs);
    this.withholdForSuspect(candidates);
    this.reservedCount = 0;
    const slots = countSlots(candidates);
    const busySlots = loadMeter.loadAbove(Infinity, nowMs);
    let placedCount = 0;
    for (const record of [...waiting.list]) {
      this.resolveEarlier(record);
      if (openRuns.isPermissionShort(record, nowMs)) {
        this.isLeaseShort = true;
        continue;
      }
      if ((this.opts.otherRunsForMs?.(record.job.id) ?? 0) > 0) {
        void this.placeAfterOtherRuns();
        continue;
      }
      const urgentSlots = loadMeter.loadAbove(record.job.priority, nowMs);
      const reserved = reservedSlots({
        urgentSlots,
        busySlots,
        totalSlots: slots.totalSlots,
      });
      const placed = this.placeTasks(
        record,
        candidates,
        MAX_PLACED_PER_ROUND - placedCount,
        () => reserved === 0 || slots.freeSlots > reserved,
        () => slots.freeSlots--,
      );
      placedCount += placed.length;
      this.logPlaced(record, placed, nowMs);
      if (placedCount === MAX_PLACED_PER_ROUND) {
        void this.placeInNextRound();
        break;
      }
    }
    const largeJobTasks = this.countTasksOfLargeJobs();
    waiting.removePlaced();
    if (largeJobTasks > 0 && placedCount < MAX_PLACED_PER_ROUND) {
      void this.pause(largeJobTasks * PAUSE_PER_TASK_MS);
    }
  }

  /** Fails the jobs whose waiting tasks may not be started any more. */
  private failWaitingTasks(): void {
    const {waiting, jobEnds} = this.parts;
    for (const record of [...waiting.list]) {
      this.resolveEarlier(record);
      if (record.tasks.some(({state}) => state === 'waiting')) {
        jobEnds.failJob(record, 'evacuated');
      }
    }
    waiting.removePlaced();
  }

  /** Applies what has become known of runs that were not ordered for a job. */
  private resolveEarlier(record: JobRecord): void {
    const {earlierRuns} = this.parts;
    earlierRuns.resolveClaims(record);
    earlierRuns.resolveEarlierRuns(record);
  }

  /** Places waiting tasks of a job, up to a number of them. */
  private placeTasks(
    record: JobRecord,
    candidates: SessionCandidate[],
    maxCount: number,
    mayPlace: () => boolean,
    onPlaced: () => void,
  ): PlacedRun[] {
    const {openRuns} = this.parts;
    const placed: PlacedRun[] = [];
    /** Steps of which a task has found no target in this round. */
    const fullSteps = new Set<number>();
    for (const task of record.tasks) {
      const {stepIndex, taskId} = task;
      if (placed.length >= maxCount || !mayPlace()) {
        break;
      }
      if (task.state !== 'waiting' || openRuns.has(taskId)) {
        continue;
      }
      const isSuspect = this.opts.crashes.isSuspect(taskId);
      if (fullSteps.has(stepIndex) && !isSuspect) {
        continue;
      }
      const run = this.placeTask(record, task, candidates);
      if (run) {
        placed.push(run);
        onPlaced();
      } else if (!isSuspect && task.excludedTargets.size === 0) {
        fullSteps.add(stepIndex);
      }
    }
    return placed;
  }

  /** Goes on with the placement when other events have been handled. */
  private async placeInNextRound(): Promise<void> {
    this.isNextRoundDue = true;
    await this.opts.clock.sleep(0);
    this.isNextRoundDue = false;
    this.schedulePlacement();
  }

  private countTasksOfLargeJobs(): number {
    let count = 0;
    for (const {tasks} of this.parts.waiting.list) {
      count += tasks.length >= LARGE_JOB_TASKS ? tasks.length : 0;
    }
    return count;
  }

  /** Puts rounds off for a time, in milliseconds. */
  private async pause(ms: number): Promise<void> {
    this.isPaused = true;
    await this.opts.clock.sleep(ms);
    this.isPaused = false;
    if (this.isRoundPutOff) {
      this.isRoundPutOff = false;
      this.schedulePlacement();
    }
  }

  /** Places waiting tasks again until runs elsewhere have ended. */
  private async placeAfterOtherRuns(): Promise<void> {
    if (!this.isOtherRunCheckDue) {
      this.isOtherRunCheckDue = true;
      await this.opts.clock.sleep(OTHER_RUN_CHECK_MS);
      this.isOtherRunCheckDue = false;
      this.schedulePlacement();
    }
  }

  private availableCandidates(): SessionCandidate[] {
    const candidates: SessionCandidate[] = [];
    this.isLeaseShort = false;
    for (const session of this.parts.targets.sessionsInUse()) {
      session.updateClock();
      if (!session.mayStartRun) {
        this.isLeaseShort ||= session.isLeaseShort;
      } else {
        candidates.push({
          session,
          targetId: session.report.targetId,
          free: session.freeResources(),
          slowness: session.slowness,
          isSuspect: session.health.kind === 'suspect',
          runs: session.runs.size,
          leaseLimitMs: undefined,
          isExclusive: [...session.runs.values()].some(run =>
            this.opts.crashes.isSuspect(run.taskId),
          ),
          reservation: undefined,
        });
      }
    }
    return candidates;
  }

  /**
   * Keeps other tasks off the target with the fewest runs, if a task that has
   * to run alone waits and no target is idle.
   */
  private withholdForSuspect(candidates: readonly SessionCandidate[]): void {
    const {crashes, clock} = this.opts;
    if (!crashes.hasSuspects(clock.now())) {
      return;
    }
    const suspect = this.parts.waiting.findTask(({taskId}) =>
      crashes.isSuspect(taskId),
    );
    if (!suspect) {
      return;
    }
    const {record, task} = suspect;
    const [emptiest] = candidates
      .filter(({session}) => isAllowed(record, task, session))
      .sort((a, b) => a.runs - b.runs);
    if (emptiest && emptiest.runs > 0) {
      emptiest.isExclusive = true;
    }
  }

  /** Orders a task on a target; undefined if it fits on none. */
  private placeTask(
    record: JobRecord,
    task: TaskRecord,
    candidates: SessionCandidate[],
  ): PlacedRun | undefined {
    const {needs} = record.job.steps[task.stepIndex]!;
    const expectedMs = record.expectedMs[task.stepIndex]!;
    // A suspect runs alone, so that another crash takes no other task along.
    const isSuspect = this.opts.crashes.isSuspect(task.taskId);
    const usable = candidates.filter(
      ({session, runs, isExclusive, reservation}) =>
        // Tasks without needs would fit on it in any number.
        !session.isBusy &&
        isAllowed(record, task, session) &&
        (isSuspect ? runs === 0 : !isExclusive) &&
        mayBackfill(reservation, needs, expectedMs * session.slowness),
    );
    const chosen = chooseTarget(usable, needs);
    if (!chosen) {
      if (!isSuspect) {
        this.reserveFor(needs, usable);
      }
      return undefined;
    }
    const {session} = chosen;
    const runMs = expectedMs * session.slowness;
    chosen.reservation = spareAfter(chosen.reservation, needs, runMs);
    const leaseLimitMs = chosen.leaseLimitMs ?? session.leaseLimitMs();
    const run = this.parts.openRuns.createRun(
      record,
      task,
      session,
      task.nextRunNumber++,
      false,
      leaseLimitMs,
    );
    chosen.leaseLimitMs = Math.min(leaseLimitMs, run.permittedUntilMs);
    task.state = 'placed';
    task.run = run;
    void session.start(run);
    chosen.free = session.freeResources();
    chosen.runs = session.runs.size;
    chosen.isExclusive ||= isSuspect;
    return run;
  }

  /** Reserves a target for a task that has found no room on any. */
  private reserveFor(needs: Resources, usable: SessionCandidate[]): void {
    const left = maxReservations(this.opts.placement) - this.reservedCount;
    if (left <= 0) {
      return;
    }
    const nowMs = this.opts.clock.now();
    const places = usable
      .filter(({isSuspect, reservation}) => !isSuspect && !reservation)
      .map(candidate => ({
        candidate,
        free: candidate.free,
        ends: candidate.session.expectedRunEnds(nowMs),
      }));
    const found = earliestPlace(needs, places);
    if (found) {
      found.place.candidate.reservation = found.reservation;
      this.reservedCount++;
    }
  }

  /** Logs the targets that tasks of a job were placed on in one round. */
  private logPlaced(
    record: JobRecord,
    placed: readonly PlacedRun[],
    nowMs: number,
  ): void {
    if (placed.length > 0 && this.opts.log.decisionsEnabled) {
      this.opts.log.emit('taskPlaced', {
        jobId: record.job.id,
        requester: record.requester,
        waitedMs: Math.round(nowMs - record.receivedMs),
        runs: placed.map(({taskId, runNumber, session}) => ({
          taskId,
          run: runNumber,
          target: session.report.targetId,
          slowness: Number(session.slowness.toFixed(2)),
        })),
      });
    }
  }

  /** Whether more or fewer targets may be in use than in the last round. */
  private hasPhaseChanged(): boolean {
    const {kind} = this.parts.targets.evacuationPhase;
    return kind !== this.placedInPhase || kind === 'returning';
  }
}
