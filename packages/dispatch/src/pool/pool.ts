import type {KindDigest, KindId, PoolDigest, Work} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import PQueue from 'p-queue';
import {FairQueue} from '../fair_queue/fair_queue.js';
import type {QueueEntry} from '../fair_queue/queue_entry.js';
import {addToCount} from '../_lib/add_to_count.js';
import {Placement} from '../placement/placement.js';
import {RateMeter} from '../rate_meter/rate_meter.js';
import {RunTimes} from '../run_times/run_times.js';
import type {TargetRecord} from '../target_registry/target_record.js';
import {expectedWait} from './expected_wait.js';
import type {PoolOptions} from './pool_options.js';
import type {Slot} from './slot.js';
import {TargetSlots} from './target_slots.js';

/** Other available targets listed in the log event of a placement. */
const MAX_LOGGED_ALTERNATIVES = 4;
/** Smallest limit on the waiting work of a kind, whatever its weight. */
const MIN_QUEUE_LIMIT_PER_KIND = 64;
/** Factor on the expected wait at admission, so that admitted work is rarely late. */
const WAIT_SAFETY_FACTOR = 1.25;
/** Percentile of the run times that admission assumes for new work. */
const LONG_RUN_PERCENTILE = 90;

/**
 * Targets of one service that this instance keeps, and the work that waits for
 * them.
 *
 * @description p-queue starts the work. Its queue class is a FairQueue that
 * offers an entry only when one of the targets has capacity for it.
 */
export class Pool {
  readonly runTimes = RunTimes.create();
  private readonly slots: TargetSlots;
  private readonly runningByTeam = new Map<string, number>();
  private readonly runningByKind = new Map<KindId, number>();
  private readonly startRateByKind = new Map<KindId, RateMeter>();
  private readonly runningByCaller = new Map<string, number>();
  /** Functions that end the wait of an entry with an error. */
  private readonly waitCancellers = new Map<QueueEntry, (err: Error) => void>();
  private readonly placement = Placement.create();
  private readonly fairQueue: FairQueue;
  private readonly pqueue: PQueue;

  private constructor(private readonly opts: PoolOptions) {
    this.slots = TargetSlots.create(opts.clock);
    const fairQueue = FairQueue.create({
      weightOf: kind => this.opts.policy.weightOf(kind),
      hasCapacity: () => this.slots.available.size > 0,
      canStart: entry => this.canStart(entry),
    });
    this.fairQueue = fairQueue;
    this.pqueue = new PQueue({
      queueClass: class {
        constructor() {
          return fairQueue;
        }
      } as never,
    });
  }

  /**
   * Creates a pool without targets.
   *
   * @param opts - Service, policy and limits.
   * @returns The pool.
   * @example
   * const pool = Pool.create(opts);
   */
  static create(opts: PoolOptions): Pool {
    return new Pool(opts);
  }

  /** Applies the new state of a target: adds, updates or removes it. */
  update(record: TargetRecord): void {
    const isMember = record.kept && record.announcement.state === 'ready';
    if (isMember && this.slots.isUpToDate(record)) {
      // Only the time of the last announcement or the usage of a worker changed.
      if (this.fairQueue.waiting > 0) {
        this.startWaiting();
      }
      return;
    }
    if (isMember) {
      this.slots.add(record);
    } else {
      this.slots.remove(record);
      this.placement.dropReservation(record);
    }
    this.refresh();
    if (this.slots.size === 0) {
      this.refuseWaiting();
    }
  }

  /** Targets that this pool sends to. */
  targets(): TargetRecord[] {
    return this.slots.targets();
  }

  get waiting(): number {
    return this.fairQueue.waiting;
  }

  /** Number of waiting pieces of work by kind. */
  waitingByKind(): Record<string, number> {
    const kinds = this.fairQueue.backloggedKinds();
    return Object.fromEntries(
      kinds.map(kind => [kind, this.fairQueue.waitingOfKind(kind)]),
    );
  }

  digest(): PoolDigest {
    return {
      slots: this.slots.total,
      free: this.slots.free,
      queued: this.fairQueue.waiting,
      kinds: this.kindDigests(),
      runMs: Math.round(this.runTimes.meanMs),
      largest: this.slots.largestWorkerResources(),
    };
  }

  private kindDigests(): Record<string, KindDigest> {
    const kinds = new Set([
      ...this.runningByKind.keys(),
      ...this.fairQueue.backloggedKinds(),
    ]);
    return Object.fromEntries(
      [...kinds].map(kind => [
        kind,
        {
          queued: this.fairQueue.waitingOfKind(kind),
          running: this.runningByKind.get(kind) ?? 0,
        },
      ]),
    );
  }

  /**
   * Waits for a free slot of a target.
   *
   * @param work - Work to send.
   * @param signal - Ends the wait; its reason is a DispatchError.
   * @returns The slot, which the caller must release.
   * @throws DispatchError with `notRun`; immediately if the work cannot be
   *   placed or cannot meet its deadline.
   */
  acquire(work: Work, signal: AbortSignal): Promise<Slot> {
    this.checkAdmission(work);
    const entry = this.entryOf(work);
    return new Promise((resolve, reject) => {
      const cancelWait = (err: Error): void => {
        this.waitCancellers.delete(entry);
        signal.removeEventListener('abort', abort);
        if (this.fairQueue.removeEntry(entry)) {
          reject(err);
        }
      };
      const abort = (): void => cancelWait(signal.reason as Error);
      if (signal.aborted) {
        reject(signal.reason as Error);
        return;
      }
      signal.addEventListener('abort', abort, {once: true});
      this.waitCancellers.set(entry, cancelWait);
      void this.pqueue.add(
        () => {
          signal.removeEventListener('abort', abort);
          this.waitCancellers.delete(entry);
          entry.removed = true;
          if (this.cannotMeetDeadline(entry)) {
            reject(
              DispatchError.notRun(
                'deadline',
                'waited too long in the queue to meet its deadline',
              ),
            );
            return Promise.resolve();
          }
          return this.start(entry, resolve);
        },
        {entry} as never,
      );
    });
  }

  /**
   * Whether a target other than the given one can take a piece of work at once.
   *
   * @param work - The work.
   * @param excluded - Target that already has the work.
   */
  hasFreeSlotElsewhere(work: Work, excluded: TargetRecord): boolean {
    return this.pickElsewhere(work, excluded) !== undefined;
  }

  /**
   * Takes a free slot of a target other than the given one, ahead of the queue.
   *
   * @param work - Work to send.
   * @param excluded - Target that already has the work.
   * @returns The slot, which the caller must release, or undefined if there is
   *   none.
   */
  acquireElsewhere(work: Work, excluded: TargetRecord): Slot | undefined {
    const record = this.pickElsewhere(work, excluded);
    if (!record) {
      return undefined;
    }
    const entry = this.entryOf(work);
    return this.occupy(record, entry, () => this.startWaiting());
  }

  private pickElsewhere(
    work: Work,
    excluded: TargetRecord,
  ): TargetRecord | undefined {
    if (!this.isWithinQuota(work)) {
      return undefined;
    }
    const others = [...this.slots.available].filter(
      record => record.id !== excluded.id,
    );
    return this.placement.pick(others, this.entryOf(work));
  }

  private entryOf(work: Work): QueueEntry {
    return {
      work,
      queuedMs: this.opts.clock.now(),
      costMs: this.runTimes.expectedMs(work.kind, work.declaredRunMs),
      removed: false,
    };
  }

  /** Whether the expected run time no longer fits into the deadline. */
  private cannotMeetDeadline(entry: QueueEntry): boolean {
    const waitedMs = this.opts.clock.now() - entry.queuedMs;
    return (
      waitedMs + this.runTimes.expectedMs(entry.work.kind) >
        entry.work.deadlineMs && waitedMs > 0
    );
  }

  /** Recounts the slots and starts waiting work that can now run. */
  refresh(): void {
    this.slots.recount();
    this.startWaiting();
  }

  private startWaiting(): void {
    // Setting the concurrency makes p-queue check its queue again.
    this.pqueue.concurrency = Number.POSITIVE_INFINITY;
  }

  /** Refuses all waiting work, so that it is routed to another instance. */
  private refuseWaiting(): void {
    const {service} = this.opts;
    for (const cancelWait of [...this.waitCancellers.values()]) {
      cancelWait(
        DispatchError.notRun(
          'noTargets',
          `this instance has no target of ${service} left`,
        ),
      );
    }
  }

  /** Refuses work that cannot be placed or answered in time, before it is queued. */
  private checkAdmission(work: Work): void {
    const {policy} = this.opts;
    if (work.needs && !this.slots.fitsAnyWorker(work.needs)) {
      throw DispatchError.notRun(
        'neverFits',
        'no worker has the resources that the task needs',
      );
    }
    if (this.slots.total === 0) {
      throw DispatchError.notRun(
        'noTargets',
        `this instance has no ready target of ${work.service}`,
      );
    }
    const share =
      policy.weightOf(work.kind) /
      Math.max(policy.totalWeight(), policy.weightOf(work.kind));
    const queueLimit = Math.max(
      MIN_QUEUE_LIMIT_PER_KIND,
      Math.floor(this.opts.maxWaiting * share),
    );
    if (this.fairQueue.waitingOfKind(work.kind) >= queueLimit) {
      const retryAfterMs = Math.ceil(this.expectedWaitMs(work));
      throw DispatchError.notRun(
        'queueFull',
        `the queue of kind ${work.kind} is full`,
        {
          retryAfterMs,
        },
      );
    }
    if (this.slots.available.size > 0 && this.fairQueue.waiting === 0) {
      return;
    }
    const waitMs = this.expectedWaitMs(work);
    if (WAIT_SAFETY_FACTOR * waitMs + this.longRunMs(work) > work.deadlineMs) {
      throw DispatchError.notRun(
        'deadline',
        `the expected wait of ${Math.round(waitMs)} ms is too long for the deadline`,
        {retryAfterMs: Math.ceil(waitMs)},
      );
    }
  }

  /** Run time that most work of the kind does not exceed. */
  private longRunMs(work: Work): number {
    return (
      this.runTimes.quantileMs(work.kind, LONG_RUN_PERCENTILE) ??
      this.runTimes.expectedMs(work.kind, work.declaredRunMs)
    );
  }

  private expectedWaitMs(work: Work): number {
    const {policy, clock} = this.opts;
    const activeKinds = new Set([
      ...this.runningByKind.keys(),
      ...this.fairQueue.backloggedKinds(),
      work.kind,
    ]);
    const activeWeight = [...activeKinds].reduce(
      (sum, k) => sum + policy.weightOf(k),
      0,
    );
    return expectedWait({
      queuedAhead: this.fairQueue.waitingAhead(work),
      runMs: this.runTimes.expectedMs(work.kind, work.declaredRunMs),
      slots: this.slots.total,
      weight: policy.weightOf(work.kind),
      activeWeight,
      startsPerSecond:
        this.startRateByKind.get(work.kind)?.perSecond(clock.now()) ?? 0,
    });
  }

  private canStart(entry: QueueEntry): boolean {
    if (!this.isWithinQuota(entry.work)) {
      return false;
    }
    if (!entry.work.needs) {
      return this.slots.available.size > 0;
    }
    if (this.placement.pick(this.slots.available, entry)) {
      return true;
    }
    this.placement.reserveFor(entry, this.targets(), this.opts.clock.now());
    return false;
  }

  private isWithinQuota(work: Work): boolean {
    const {policy} = this.opts;
    return (
      isBelowQuota(
        this.runningByTeam.get(work.team),
        policy.teamFraction(work.team),
        this.slots.total,
      ) &&
      isBelowQuota(
        this.runningByCaller.get(work.caller),
        policy.callerFraction(work.caller),
        this.slots.total,
      )
    );
  }

  private start(
    entry: QueueEntry,
    resolve: (slot: Slot) => void,
  ): Promise<void> {
    const record = this.placement.pick(this.slots.available, entry)!;
    return new Promise(done => resolve(this.occupy(record, entry, done)));
  }

  /** Takes a slot of a target, and calls a function once the slot is released. */
  private occupy(
    record: TargetRecord,
    entry: QueueEntry,
    onRelease: () => void,
  ): Slot {
    this.logPlacement(record, entry);
    this.countStart(entry.work.kind);
    this.adjustLoad(record, entry.work, 1);
    let released = false;
    const release = (): void => {
      if (released) {
        return;
      }
      released = true;
      this.adjustLoad(record, entry.work, -1);
      onRelease();
    };
    return {record, release};
  }

  private countStart(kind: KindId): void {
    let meter = this.startRateByKind.get(kind);
    if (!meter) {
      meter = RateMeter.create();
      this.startRateByKind.set(kind, meter);
    }
    meter.record(this.opts.clock.now());
  }

  /** Counts work as sent to (1) or ended at (-1) a target. */
  private adjustLoad(record: TargetRecord, work: Work, delta: 1 | -1): void {
    this.slots.adjustInFlight(record, delta);
    this.placement.adjustPlaced(record, work, delta);
    addToCount(this.runningByKind, work.kind, delta);
    addToCount(this.runningByTeam, work.team, delta);
    addToCount(this.runningByCaller, work.caller, delta);
  }

  private logPlacement(record: TargetRecord, entry: QueueEntry): void {
    const {log, clock, service} = this.opts;
    if (!log.decisionsEnabled) {
      return;
    }
    const alternatives: string[] = [];
    for (const other of this.slots.available) {
      if (alternatives.length === MAX_LOGGED_ALTERNATIVES) {
        break;
      }
      if (other !== record) {
        alternatives.push(
          `${other.id}:${other.inFlight}/${other.announcement.slots}`,
        );
      }
    }
    log.emit('placed', {
      requestId: entry.work.requestId,
      service,
      kind: entry.work.kind,
      target: record.id,
      load: `${record.inFlight}/${record.announcement.slots}`,
      waitedMs: Math.round(clock.now() - entry.queuedMs),
      open: this.slots.available.size,
      alternatives,
    });
  }
}

function isBelowQuota(
  running: number | undefined,
  fraction: number,
  slots: number,
): boolean {
  return (
    fraction >= 1 || (running ?? 0) < Math.max(1, Math.floor(fraction * slots))
  );
}
