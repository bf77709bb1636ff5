import type {
  KindDigest,
  KindId,
  PoolDigest,
  Resources,
  TargetId,
  Work,
} from '@papayarun/protocol';
import {DispatchError, fitsIn} from '@papayarun/protocol';
import PQueue from 'p-queue';
import {FairQueue} from '../fair_queue/fair_queue.js';
import type {QueueEntry} from '../fair_queue/queue_entry.js';
import {addTo} from '../_lib/add_to.js';
import {Placement} from '../placement/placement.js';
import {RateMeter} from '../rate_meter/rate_meter.js';
import {RunTimes} from '../run_times/run_times.js';
import type {TargetRecord} from '../target_registry/target_record.js';
import {allowedSlots} from './allowed_slots.js';
import {expectedWait} from './expected_wait.js';
import type {PoolOptions} from './pool_options.js';
import type {Slot} from './slot.js';

/** Alternatives named in a decision's log line. */
const LOGGED_ALTERNATIVES = 4;
/** Smallest number of waiting places of a kind. */
const MIN_KIND_PLACES = 64;
/** Part of the targets that may be ejected before the rest would drown. */
const MAX_EJECTED_PART = 0.5;
/** Factor on the expected wait, so that admitted work is seldom late. */
const WAIT_SAFETY = 1.25;
const LONG_RUN_PERCENTILE = 90;

/**
 * The kept targets of one service and the work that waits for them.
 *
 * @description p-queue starts the work; its queue class is a FairQueue that
 * offers an entry only when one of the targets has room for it.
 */
export class Pool {
  readonly runTimes = RunTimes.create();
  private readonly members = new Map<TargetId, TargetRecord>();
  private readonly open = new Set<TargetRecord>();
  /** Slots of each member that are counted in `slots`. */
  private readonly allowed = new Map<TargetRecord, number>();
  private readonly teamBusy = new Map<string, number>();
  private readonly kindBusy = new Map<KindId, number>();
  private readonly startRates = new Map<KindId, RateMeter>();
  private readonly callerBusy = new Map<string, number>();
  /** Ends the wait of entries that wait. */
  private readonly waiters = new Map<QueueEntry, (err: Error) => void>();
  private readonly placement = Placement.create();
  private readonly fairQueue: FairQueue;
  private readonly pqueue: PQueue;
  private tooManyEjected = false;
  private slots = 0;
  private busy = 0;

  private constructor(private readonly opts: PoolOptions) {
    const fairQueue = FairQueue.create({
      weightOf: kind => this.opts.policy.weightOf(kind),
      hasRoom: () => this.open.size > 0,
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
   * Makes a pool without targets.
   *
   * @param opts - Service, policy and bounds.
   * @returns The pool.
   * @example
   * const pool = Pool.create(opts);
   */
  static create(opts: PoolOptions): Pool {
    return new Pool(opts);
  }

  /** Takes a target's new state: adds, updates or drops it. */
  update(record: TargetRecord): void {
    const isMember = record.kept && record.announcement.state === 'ready';
    const allowed = isMember ? this.allowedOf(record) : 0;
    if (isMember && this.allowed.get(record) === allowed) {
      // Nothing but the time it was heard, or a worker's usage, has changed.
      if (this.fairQueue.waiting > 0) {
        this.startMore();
      }
      return;
    }
    if (isMember) {
      this.members.set(record.id, record);
    } else {
      this.drop(record);
    }
    this.wake();
    if (this.members.size === 0) {
      this.refuseWaiting();
    }
  }

  private drop(record: TargetRecord): void {
    this.members.delete(record.id);
    this.open.delete(record);
    this.allowed.delete(record);
    this.placement.forget(record);
  }

  /** Targets that this pool sends to. */
  targets(): TargetRecord[] {
    return [...this.members.values()];
  }

  get waiting(): number {
    return this.fairQueue.waiting;
  }

  /** Waiting work by kind. */
  waitingByKind(): Record<string, number> {
    const kinds = this.fairQueue.backlogged();
    return Object.fromEntries(
      kinds.map(kind => [kind, this.fairQueue.waitingOf(kind)]),
    );
  }

  digest(): PoolDigest {
    return {
      slots: this.slots,
      free: Math.max(0, this.slots - this.busy),
      queued: this.fairQueue.waiting,
      kinds: this.kindDigests(),
      runMs: Math.round(this.runTimes.meanMs),
      largest: this.largest(),
    };
  }

  private kindDigests(): Record<string, KindDigest> {
    const kinds = new Set([
      ...this.kindBusy.keys(),
      ...this.fairQueue.backlogged(),
    ]);
    return Object.fromEntries(
      [...kinds].map(kind => [
        kind,
        {
          queued: this.fairQueue.waitingOf(kind),
          running: this.kindBusy.get(kind) ?? 0,
        },
      ]),
    );
  }

  /**
   * Waits for room at a target.
   *
   * @param work - What is to be sent.
   * @param signal - Ends the wait; its reason is a DispatchError.
   * @returns The slot, to be released.
   * @throws DispatchError with `notRun`, at once when the wait would be in vain.
   */
  acquire(work: Work, signal: AbortSignal): Promise<Slot> {
    this.admit(work);
    const entry: QueueEntry = {
      work,
      queuedMs: this.opts.clock.now(),
      costMs: this.runTimes.expectedMs(work.kind, work.declaredRunMs),
      removed: false,
    };
    return new Promise((resolve, reject) => {
      const leave = (err: Error): void => {
        this.waiters.delete(entry);
        signal.removeEventListener('abort', abort);
        if (this.fairQueue.removeEntry(entry)) {
          reject(err);
        }
      };
      const abort = (): void => leave(signal.reason as Error);
      if (signal.aborted) {
        reject(signal.reason as Error);
        return;
      }
      signal.addEventListener('abort', abort, {once: true});
      this.waiters.set(entry, leave);
      void this.pqueue.add(
        () => {
          signal.removeEventListener('abort', abort);
          this.waiters.delete(entry);
          entry.removed = true;
          if (this.isTooLate(entry)) {
            reject(
              DispatchError.notRun(
                'deadline',
                'waited too long to be answered in time',
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

  /** Whether an answer in time is no longer to be expected. */
  private isTooLate(entry: QueueEntry): boolean {
    const waitedMs = this.opts.clock.now() - entry.queuedMs;
    return (
      waitedMs + this.runTimes.expectedMs(entry.work.kind) >
        entry.work.deadlineMs && waitedMs > 0
    );
  }

  /** Looks again for work that can start, after room was found. */
  wake(): void {
    this.recount();
    this.startMore();
  }

  private startMore(): void {
    // Setting it makes p-queue look at its queue again.
    this.pqueue.concurrency = Number.POSITIVE_INFINITY;
  }

  /** Gives waiting work back, so that it is routed elsewhere. */
  private refuseWaiting(): void {
    const {service} = this.opts;
    for (const leave of [...this.waiters.values()]) {
      leave(
        DispatchError.notRun(
          'noTargets',
          `no target of ${service} is left here`,
        ),
      );
    }
  }

  /** Refuses work that could not be answered in time, before it waits. */
  private admit(work: Work): void {
    const {policy} = this.opts;
    if (work.needs && !this.couldHold(work.needs)) {
      throw DispatchError.notRun(
        'neverFits',
        'no worker is large enough for this task',
      );
    }
    if (this.slots === 0) {
      throw DispatchError.notRun(
        'noTargets',
        `no target of ${work.service} is ready here`,
      );
    }
    const share =
      policy.weightOf(work.kind) /
      Math.max(policy.totalWeight(), policy.weightOf(work.kind));
    const places = Math.max(
      MIN_KIND_PLACES,
      Math.floor(this.opts.maxWaiting * share),
    );
    if (this.fairQueue.waitingOf(work.kind) >= places) {
      const retryAfterMs = Math.ceil(this.waitOf(work));
      throw DispatchError.notRun('queueFull', `queue of ${work.kind} is full`, {
        retryAfterMs,
      });
    }
    if (this.open.size > 0 && this.fairQueue.waiting === 0) {
      return;
    }
    const waitMs = this.waitOf(work);
    if (WAIT_SAFETY * waitMs + this.longRunOf(work) > work.deadlineMs) {
      throw DispatchError.notRun(
        'deadline',
        `would wait ${Math.round(waitMs)} ms, too long for its deadline`,
        {retryAfterMs: Math.ceil(waitMs)},
      );
    }
  }

  /** Run time that most work of the kind keeps within. */
  private longRunOf(work: Work): number {
    return (
      this.runTimes.quantileMs(work.kind, LONG_RUN_PERCENTILE) ??
      this.runTimes.expectedMs(work.kind, work.declaredRunMs)
    );
  }

  private waitOf(work: Work): number {
    const {policy, clock} = this.opts;
    const active = new Set([
      ...this.kindBusy.keys(),
      ...this.fairQueue.backlogged(),
      work.kind,
    ]);
    const activeWeight = [...active].reduce(
      (sum, k) => sum + policy.weightOf(k),
      0,
    );
    return expectedWait({
      ahead: this.fairQueue.waitingAhead(work),
      runMs: this.runTimes.expectedMs(work.kind, work.declaredRunMs),
      slots: this.slots,
      weight: policy.weightOf(work.kind),
      activeWeight,
      startsPerSecond:
        this.startRates.get(work.kind)?.perSecond(clock.now()) ?? 0,
    });
  }

  private canStart(entry: QueueEntry): boolean {
    if (!this.isWithinQuota(entry.work)) {
      return false;
    }
    if (!entry.work.needs) {
      return this.open.size > 0;
    }
    if (this.placement.pick(this.open, entry)) {
      return true;
    }
    this.placement.reserveFor(entry, this.targets(), this.opts.clock.now());
    return false;
  }

  private isWithinQuota(work: Work): boolean {
    const {policy} = this.opts;
    return (
      isBelow(
        this.teamBusy.get(work.team),
        policy.teamFraction(work.team),
        this.slots,
      ) &&
      isBelow(
        this.callerBusy.get(work.caller),
        policy.callerFraction(work.caller),
        this.slots,
      )
    );
  }

  private start(
    entry: QueueEntry,
    resolve: (slot: Slot) => void,
  ): Promise<void> {
    const record = this.placement.pick(this.open, entry)!;
    this.logPlacement(record, entry);
    this.countStart(entry.work.kind);
    this.take(record, entry.work, 1);
    return new Promise(done => {
      let released = false;
      const release = (): void => {
        if (released) {
          return;
        }
        released = true;
        this.take(record, entry.work, -1);
        done();
      };
      resolve({record, release});
    });
  }

  private countStart(kind: KindId): void {
    let meter = this.startRates.get(kind);
    if (!meter) {
      meter = RateMeter.create();
      this.startRates.set(kind, meter);
    }
    meter.record(this.opts.clock.now());
  }

  /** Counts work as sent (1) or ended (-1) at a target. */
  private take(record: TargetRecord, work: Work, sign: 1 | -1): void {
    const allowed = this.allowed.get(record) ?? 0;
    const busyBefore = Math.min(record.inFlight, allowed);
    record.inFlight += sign;
    this.placement.count(record, work, sign);
    addTo(this.kindBusy, work.kind, sign);
    addTo(this.teamBusy, work.team, sign);
    addTo(this.callerBusy, work.caller, sign);
    if (this.members.get(record.id) === record) {
      this.busy += Math.min(record.inFlight, allowed) - busyBefore;
      this.reopen(record);
    }
  }

  private reopen(record: TargetRecord): void {
    this.open.delete(record);
    if (
      record.inFlight < this.allowedOf(record) &&
      record.busyUntilMs <= this.opts.clock.now()
    ) {
      this.open.add(record);
    }
  }

  private allowedOf(record: TargetRecord): number {
    return allowedSlots(
      record.health,
      record.announcement.slots,
      this.tooManyEjected,
    );
  }

  private recount(): void {
    const records = this.targets();
    const ejected = records.filter(r => r.health.kind === 'ejected').length;
    this.tooManyEjected = ejected > records.length * MAX_EJECTED_PART;
    this.slots = 0;
    this.busy = 0;
    for (const record of records) {
      const allowed = this.allowedOf(record);
      this.allowed.set(record, allowed);
      this.slots += allowed;
      this.busy += Math.min(record.inFlight, allowed);
      const isOpen = this.open.has(record);
      const hasRoom =
        record.inFlight < allowed &&
        record.busyUntilMs <= this.opts.clock.now();
      if (isOpen !== hasRoom) {
        this.reopen(record);
      }
    }
  }

  private couldHold(needs: Resources): boolean {
    return this.targets().some(
      record =>
        record.announcement.worker &&
        fitsIn(needs, record.announcement.worker.total),
    );
  }

  private largest(): PoolDigest['largest'] {
    const totals = this.targets().flatMap(
      r => r.announcement.worker?.total ?? [],
    );
    if (totals.length === 0) {
      return undefined;
    }
    return {
      cores: Math.max(...totals.map(t => t.cores)),
      memoryMb: Math.max(...totals.map(t => t.memoryMb)),
      accelerators: Math.max(...totals.map(t => t.accelerators)),
    };
  }

  private logPlacement(record: TargetRecord, entry: QueueEntry): void {
    const {log, clock, service} = this.opts;
    if (!log.decisions) {
      return;
    }
    const alternatives: string[] = [];
    for (const other of this.open) {
      if (alternatives.length === LOGGED_ALTERNATIVES) {
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
      open: this.open.size,
      alternatives,
    });
  }
}

function isBelow(
  busy: number | undefined,
  fraction: number,
  slots: number,
): boolean {
  return (
    fraction >= 1 || (busy ?? 0) < Math.max(1, Math.floor(fraction * slots))
  );
}
