import type {Resources, TaskId} from '@papayarun/protocol';
import {addResources} from '@papayarun/protocol';
import type {RunRecord} from '../_lib/run_record.js';
import type {TargetLoss} from '../_lib/target_loss.js';
import type {TargetSessionHost} from '../_lib/target_session_host.js';
import {UnclaimedRuns} from '../_lib/unclaimed_runs.js';
import {orphanEndMs} from '../orphan_end/orphan_end_ms.js';
import {remainingMs} from '../remaining_time/remaining_ms.js';
import type {TargetContact} from '../target_contact/target_contact.js';
import type {TargetIncarnation} from '../target_incarnation/target_incarnation.js';
import type {EndReport} from '../target_port/end_report.js';
import type {HoldResult} from '../target_port/hold_result.js';
import type {RunEnd} from '../target_port/run_end.js';

/**
 * Most ends that a target lists in one answer. A list of this length may be
 * incomplete, so a run that it does not contain is not taken to be lost.
 */
const MAX_LISTED_ENDS = 500;
/**
 * Most orders to stop unclaimed runs that wait for their answers at once. The next
 * lists contain the runs that are left.
 */
const MAX_ORPHAN_STOPS = 128;
/** Most unclaimed runs of one list that are logged. */
const MAX_LOGGED_ORPHANS = 128;

/**
 * Runs that are ordered on a target, runs on it that nobody has claimed, and the
 * ends of both.
 */
export class TargetRuns<R extends RunRecord = RunRecord> {
  private readonly ordered = new Map<TaskId, R>();
  /** Capacity that the runs leave free of a capacity, until a run has ended. */
  private free: {readonly of: Resources; resources: Resources} | undefined;
  /** Runs on the target that this scheduler did not order, and their ends. */
  private readonly orphans = UnclaimedRuns.create();
  /** Number of orders to stop unclaimed runs that are not answered yet. */
  private orphanStops = 0;
  /** Whether a start was rejected for lack of capacity since the last hold. */
  private isTargetFull = false;
  private isListCut = false;
  private lastSeen = 0;
  /** Number of the last end that was acknowledged to the target. */
  private lastAcknowledged = 0;

  private constructor(
    private readonly host: TargetSessionHost<R>,
    private readonly incarnation: TargetIncarnation,
    private readonly contact: TargetContact,
  ) {}

  /**
   * Creates the record of a target without runs.
   *
   * @param host - The scheduler.
   * @param incarnation - Incarnation of the target.
   * @param contact - When the target was last heard.
   * @returns The record.
   * @example
   * const runs = TargetRuns.create(host, incarnation, contact);
   */
  static create<R extends RunRecord>(
    host: TargetSessionHost<R>,
    incarnation: TargetIncarnation,
    contact: TargetContact,
  ): TargetRuns<R> {
    return new TargetRuns(host, incarnation, contact);
  }

  /** Runs that are ordered and not known to have ended. */
  get byTask(): ReadonlyMap<TaskId, R> {
    return this.ordered;
  }

  /** Whether the target has runs that no job has claimed. */
  get hasOrphans(): boolean {
    return this.orphans.size > 0;
  }

  /** Whether a start was rejected for lack of capacity since the last hold. */
  get isFull(): boolean {
    return this.isTargetFull;
  }

  /** Whether the target may have more ends than the last list of it contains. */
  get mayHaveMoreEnds(): boolean {
    return this.isListCut;
  }

  /** Number of the last end that was processed. */
  get lastSeenEnd(): number {
    return this.lastSeen;
  }

  /** Whether an end was processed that the target still lists. */
  get hasUnacknowledgedEnd(): boolean {
    return this.lastSeen !== this.lastAcknowledged;
  }

  /** Whether a run is ordered and not known to have ended. */
  has(run: RunRecord): boolean {
    return this.ordered.get(run.taskId) === run;
  }

  /** Adds a run that is ordered, or taken over from an earlier scheduler. */
  add(run: R): void {
    if (this.ordered.has(run.taskId)) {
      this.free = undefined;
    } else if (this.free) {
      const {resources} = this.free;
      this.free.resources = addResources(resources, run.needs, -1);
    }
    this.ordered.set(run.taskId, run);
  }

  /** Whether the target has an unclaimed run of a task. */
  hasOrphan(taskId: TaskId): boolean {
    return this.orphans.has(taskId);
  }

  /** Takes over a run of an earlier scheduler, or its end. */
  adopt(taskId: TaskId): ReturnType<UnclaimedRuns['claim']> {
    return this.orphans.claim(taskId);
  }

  /** Records whether a start was rejected for lack of capacity. */
  setFull(isFull: boolean): void {
    this.isTargetFull = isFull;
  }

  /**
   * Capacity that is not taken by runs that are ordered and not known to have
   * ended.
   */
  freeResources(): Resources {
    const {capacity} = this.incarnation.report;
    if (this.isTargetFull) {
      return {cores: 0, memoryMb: 0, accelerators: 0};
    }
    if (this.free?.of !== capacity) {
      let resources = capacity;
      for (const {needs} of this.ordered.values()) {
        resources = addResources(resources, needs, -1);
      }
      this.free = {of: capacity, resources};
    }
    return this.free.resources;
  }

  /**
   * Time until each run is expected to end, in ascending order, and the
   * resources it frees.
   */
  expectedEnds(
    nowMs: number,
  ): Array<{readonly atMs: number; readonly freed: Resources}> {
    return [...this.ordered.values()]
      .map(run => ({
        atMs: remainingMs(run.expectedMs, nowMs - run.orderedMs),
        freed: run.needs,
      }))
      .sort((a, b) => a.atMs - b.atMs);
  }

  /** Time at which the first of the runs was given up; undefined if none was. */
  firstAbandonedMs(): number | undefined {
    let firstMs: number | undefined;
    for (const {abandonedMs} of this.ordered.values()) {
      if (abandonedMs !== undefined) {
        firstMs = Math.min(firstMs ?? abandonedMs, abandonedMs);
      }
    }
    return firstMs;
  }

  /** Records that a hold acknowledged the ends up to a number. */
  recordAcknowledged(end: number): void {
    this.lastAcknowledged = Math.max(this.lastAcknowledged, end);
  }

  /**
   * Continues with a new incarnation, which counts ends anew and has no runs of
   * earlier schedulers. It may have the runs that the earlier one has not
   * listed, or may yet get the order to start them.
   *
   * @returns The runs that have ended with the earlier incarnation, and those
   *   that may be on the new one.
   */
  restart(): {readonly lost: readonly R[]; readonly unlisted: readonly R[]} {
    this.isTargetFull = false;
    this.lastSeen = 0;
    this.lastAcknowledged = 0;
    this.orphans.clear();
    const runs = [...this.ordered.values()];
    const lost = runs.filter(run => run.isListed);
    const unlisted = runs.filter(run => !run.isListed);
    for (const run of unlisted) {
      run.mayBeLost = true;
    }
    return {lost, unlisted};
  }

  /**
   * Processes a list of the runs on the target.
   *
   * @param res - The list.
   * @param sentMs - Monotonic time at which it was asked for, in milliseconds.
   */
  update(res: Extract<HoldResult, {kind: 'held'}>, sentMs: number): void {
    this.isListCut = res.ended.length >= MAX_LISTED_ENDS;
    for (const end of res.ended) {
      if (end.number > this.lastSeen) {
        this.lastSeen = end.number;
        this.handleEnd(end);
      }
    }
    const present = new Map<TaskId, number>();
    for (const {taskId, run} of res.running) {
      present.set(taskId, run);
    }
    for (const run of [...this.ordered.values()]) {
      if (present.get(run.taskId) === run.runNumber) {
        this.confirm(run);
        run.isListed = true;
        run.mayBeLost = false;
      } else if (
        run.confirmedMs !== undefined &&
        run.confirmedMs < sentMs &&
        !this.isListCut
      ) {
        this.close(run, run.mayBeLost ? 'targetCrashed' : 'lapsed');
      }
    }
    this.updateOrphans(present);
  }

  /** Marks a run as known to be present on the target. */
  confirm(run: R): void {
    run.confirmedMs ??= this.host.clock.now();
    if (run.state === 'starting' || run.state === 'uncertain') {
      run.state = 'running';
    }
  }

  /** Removes a run that has ended or can no longer exist. */
  close(run: R, how: RunEnd): void {
    if (this.has(run)) {
      this.delete(run);
      this.host.onRunEnded(run, how);
    }
  }

  /** Removes a run whose order to start was certainly not carried out. */
  discard(run: R, reason: string): void {
    if (this.has(run)) {
      this.delete(run);
      this.host.onRunNotStarted(run, reason);
    }
  }

  /** Removes a run that was stopped before its target could start it. */
  closeUnstarted(run: R): void {
    if (run.mayBeLost) {
      this.close(run, 'targetCrashed');
    } else {
      this.discard(run, 'stopped before it began');
    }
  }

  /**
   * Closes all runs when they can no longer exist.
   *
   * @param loss - How the target was lost.
   */
  closeAll(loss: TargetLoss): void {
    this.closeLost([...this.ordered.values()], loss);
  }

  /** Closes runs that were lost with their target. */
  closeLost(runs: readonly R[], loss: TargetLoss): void {
    if (runs.length > 0) {
      this.host.log.emit('targetRunsLost', {
        target: this.incarnation.report.targetId,
        loss,
        silentMs: this.contact.silentMs,
        runs: runs.map(({taskId, job, runNumber}) => ({
          taskId,
          kind: job.kind,
          run: runNumber,
        })),
      });
    }
    const end = loss === 'silent' ? 'lapsed' : 'targetCrashed';
    for (const run of runs) {
      this.close(run, end);
    }
  }

  private delete(run: R): void {
    this.ordered.delete(run.taskId);
    this.free = undefined;
  }

  private handleEnd(end: EndReport): void {
    const run = this.ordered.get(end.taskId);
    const wasOrphan = this.orphans.delete(end.taskId);
    if (run?.runNumber === end.run) {
      this.close(run, end.how);
      return;
    }
    if (end.how === 'done') {
      const {targetId} = this.incarnation.report;
      this.host.onEarlierRunDone(targetId, end.taskId);
    }
    if (!this.incarnation.isConfirmed || wasOrphan || this.hasOrphans) {
      this.orphans.addEnd(end, this.host.clock.now());
    }
  }

  /**
   * Records runs of an earlier scheduler and stops those that no job claims in
   * time.
   */
  private updateOrphans(present: ReadonlyMap<TaskId, number>): void {
    const nowMs = this.host.clock.now();
    const {report} = this.incarnation;
    this.orphans.keepOnly(present);
    let added = 0;
    for (const [taskId, runNumber] of present) {
      if (this.ordered.get(taskId)?.runNumber === runNumber) {
        continue;
      }
      const orphan = this.orphans.get(taskId);
      if (!orphan) {
        this.orphans.add(taskId, runNumber, nowMs);
        if (++added <= MAX_LOGGED_ORPHANS) {
          this.host.log.emit('unknownRunListed', {
            taskId,
            run: runNumber,
            target: report.targetId,
          });
        }
      } else if (
        this.orphanStops < MAX_ORPHAN_STOPS &&
        nowMs > this.orphanEndMs(orphan.firstSeenMs)
      ) {
        void this.stopOrphan(taskId, runNumber);
      }
    }
  }

  private async stopOrphan(taskId: TaskId, run: number): Promise<void> {
    const {log, port, token} = this.host;
    const {report} = this.incarnation;
    log.emit('orphanStopped', {taskId, run, target: report.targetId});
    this.orphanStops++;
    try {
      await port.stop(report, {taskId, run, token});
    } finally {
      this.orphanStops--;
    }
  }

  /**
   * Monotonic time at which an unclaimed run is stopped. Nothing renews the lease
   * of a claimed run beside it.
   */
  private orphanEndMs(firstSeenMs: number): number {
    const {host} = this;
    const run = {
      firstSeenMs,
      handedOverMs: host.handedOverMs(),
      mayHandOverLate: this.ordered.size === 0 && host.isFormerActive(),
    };
    return orphanEndMs(run, host.timing);
  }
}
