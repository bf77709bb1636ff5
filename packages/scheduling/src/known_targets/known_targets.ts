import type {TargetId, TargetReport} from '@papayarun/protocol';
import {DepartedTargets} from '../_lib/departed_targets.js';
import {DoubtedReports} from '../_lib/doubted_reports.js';
import type {FencedTarget} from '../_lib/fenced_target.js';
import type {PlacedRun} from '../_lib/placed_run.js';
import {TargetSession} from '../_lib/target_session.js';
import type {TargetSessionHost} from '../_lib/target_session_host.js';
import type {EvacuationPhase} from '../evacuation_phase/evacuation_phase.js';
import type {Grant} from '../grant/grant.js';
import {returnedTargets} from '../returned_targets/returned_targets.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';

/**
 * Time without an answer or report after which a target without runs is
 * removed, in milliseconds.
 */
const TARGET_EXPIRY_MS = 10_000;
/**
 * Time without a new target after which all targets count as known, in
 * milliseconds.
 */
const TARGET_DISCOVERY_QUIET_MS = 300;

/** What the known targets tell other parts of the scheduler. */
interface KnownTargetsEvents {
  /** Called when tasks may be placed that could not be placed before. */
  onChange(): void;
  /** Called when a run on a removed target can no longer exist. */
  onRunLapsed(run: PlacedRun): void;
}

/**
 * Targets that have reported to a scheduler, with a session each.
 */
export class KnownTargets {
  private readonly sessions = new Map<TargetId, TargetSession<PlacedRun>>();
  private readonly departedTargets = DepartedTargets.create();
  private readonly doubtedReports = DoubtedReports.create();
  /** Monotonic time at which the latest new target was added. */
  private lastTargetAddedMs = -Infinity;

  private constructor(
    private readonly opts: SchedulerOptions,
    private readonly grant: Grant,
    private readonly events: KnownTargetsEvents,
  ) {}

  /**
   * Creates an empty record.
   *
   * @param opts - Options of the scheduler.
   * @param grant - Grant of the shard.
   * @param events - Told of changes.
   * @returns The record.
   * @example
   * const targets = KnownTargets.create(opts, grant, events);
   */
  static create(
    opts: SchedulerOptions,
    grant: Grant,
    events: KnownTargetsEvents,
  ): KnownTargets {
    return new KnownTargets(opts, grant, events);
  }

  /** Number of known targets. */
  get size(): number {
    return this.sessions.size;
  }

  /** Number of runs that are ordered and not known to have ended. */
  get runCount(): number {
    let count = 0;
    for (const session of this.sessions.values()) {
      count += session.runs.size;
    }
    return count;
  }

  /** Phase of the data centre of the targets. */
  get evacuationPhase(): EvacuationPhase {
    return this.opts.evacuationPhase?.() ?? {kind: 'inService'};
  }

  /** Whether a target has reported and is still in use. */
  has(targetId: TargetId): boolean {
    return this.sessions.has(targetId);
  }

  /** Session with a target; undefined if it is not known. */
  get(targetId: TargetId): TargetSession<PlacedRun> | undefined {
    return this.sessions.get(targetId);
  }

  /** Sessions with all known targets. */
  values(): IterableIterator<TargetSession<PlacedRun>> {
    return this.sessions.values();
  }

  /**
   * Sessions with the targets that are in use: while the data centre is taken back, a
   * share of the available targets of each service.
   */
  sessionsInUse(): Iterable<TargetSession<PlacedRun>> {
    const phase = this.evacuationPhase;
    if (phase.kind !== 'returning') {
      return this.sessions.values();
    }
    const sessions = [...this.sessions.values()];
    const services = new Set(sessions.map(({report}) => report.service));
    return [...services].flatMap(service =>
      returnedTargets(
        sessions.filter(
          other => other.isAvailable && other.report.service === service,
        ),
        ({report}) => report.targetId,
        phase.share,
      ),
    );
  }

  /**
   * Whether the scheduler has just begun and is still receiving reports of new
   * targets.
   */
  isDiscovering(nowMs: number): boolean {
    return (
      nowMs - this.grant.beganMs < this.opts.timing.reportMs &&
      nowMs - this.lastTargetAddedMs < TARGET_DISCOVERY_QUIET_MS
    );
  }

  /**
   * Processes a report of a target.
   *
   * @param report - The report.
   * @param host - Services and callbacks for the session of a new target.
   * @returns False if the report is doubted; it is ignored so far.
   */
  acceptReport(
    report: TargetReport,
    host: TargetSessionHost<PlacedRun>,
  ): boolean {
    if (this.departedTargets.has(report)) {
      return true;
    }
    const known = this.sessions.get(report.targetId);
    if (known && this.doubtedReports.isDoubted(known, report)) {
      return this.doubtedReports.check(known, report, host);
    }
    this.recordReport(report, host);
    return true;
  }

  private recordReport(
    report: TargetReport,
    host: TargetSessionHost<PlacedRun>,
  ): void {
    if (report.state === 'gone') {
      this.departedTargets.add(report, this.opts.clock.now());
    }
    const session = this.sessions.get(report.targetId);
    const incarnation = session?.incarnationOf(report);
    if (incarnation === 'earlier') {
      return;
    }
    if (session && incarnation === 'current') {
      session.updateReport(report);
      if (report.state !== 'ready') {
        this.opts.log.emit('targetLeaving', {
          target: report.targetId,
          state: report.state,
        });
      }
      this.checkSession(session, this.opts.clock.now());
      this.events.onChange();
      return;
    }
    if (session && report.state === 'gone') {
      session.closeAllRuns('restarted');
      this.removeSession(session, 'left');
      return;
    }
    if (session) {
      session.acceptRestart(report);
      this.events.onChange();
      return;
    }
    if (report.state !== 'gone' && this.opts.ownsTarget(report.targetId)) {
      this.sessions.set(report.targetId, TargetSession.create(host, report));
      this.lastTargetAddedMs = this.opts.clock.now();
      this.opts.log.emit('targetAdded', {target: report.targetId});
    }
  }

  /** Updates the health of all targets and removes those that are not used. */
  check(nowMs: number): void {
    for (const session of [...this.sessions.values()]) {
      this.checkSession(session, nowMs);
    }
  }

  /** Stops using targets that the log has assigned to another shard. */
  releaseMovedTargets(): void {
    const nowMs = this.opts.clock.now();
    for (const session of [...this.sessions.values()]) {
      if (!this.opts.ownsTarget(session.report.targetId)) {
        session.release();
        this.checkSession(session, nowMs);
      }
    }
  }

  /** Removes a target that the scheduler of another shard has taken over. */
  removeMoved(target: FencedTarget<PlacedRun>): void {
    const session = this.sessions.get(target.report.targetId);
    if (session && session === target) {
      this.removeSession(session, 'moved');
    }
  }

  /** Closes and removes all sessions, when the grant has ended. */
  closeAll(): void {
    for (const session of this.sessions.values()) {
      session.close();
    }
    this.sessions.clear();
  }

  private checkSession(session: TargetSession<PlacedRun>, nowMs: number): void {
    session.updateHealth();
    const isExpired = nowMs - session.lastContactMs > TARGET_EXPIRY_MS;
    if (session.runs.size > 0) {
      return;
    }
    if (session.isReleased) {
      this.removeSession(session, 'moved');
    } else if (session.report.state === 'gone') {
      this.removeSession(session, 'left');
    } else if (isExpired) {
      this.removeSession(session, 'silent');
    }
  }

  /** Forgets the runs of a removed session when their lease has ended. */
  private async removeLostRuns(
    session: TargetSession<PlacedRun>,
  ): Promise<void> {
    const {clock} = this.opts;
    const leftMs = Math.max(0, session.latestRunEndMs - clock.now());
    await clock.sleep(leftMs, this.grant.ending);
    session.runs.forEach(run => this.events.onRunLapsed(run));
    this.events.onChange();
  }

  private removeSession(
    session: TargetSession<PlacedRun>,
    reason: string,
  ): void {
    session.close();
    if (session.runs.size > 0) {
      void this.removeLostRuns(session);
    }
    this.sessions.delete(session.report.targetId);
    this.opts.log.emit('targetGone', {target: session.report.targetId, reason});
  }
}
