import type {Clock, PoolDigest, Resources, TargetId} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';
import type {TargetRecord} from '../target_registry/target_record.js';
import {allowedSlots} from './allowed_slots.js';

/**
 * Fraction of the targets that may be ejected; beyond it the others would be
 * overloaded, so ejected targets get one request at a time.
 */
const MAX_EJECTED_FRACTION = 0.5;

/**
 * Targets of a pool, and how many of their slots are free.
 */
export class TargetSlots {
  private readonly members = new Map<TargetId, TargetRecord>();
  /** Members with a free slot that are not in a backoff after a busy answer. */
  private readonly availableTargets = new Set<TargetRecord>();
  /** Slots of each member that are counted in `totalSlots`. */
  private readonly allowedSlotsByTarget = new Map<TargetRecord, number>();
  private tooManyEjected = false;
  private totalSlots = 0;
  private busySlots = 0;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates the slots of a pool without targets.
   *
   * @param clock - Clock of the backoffs after busy answers.
   * @returns The slots.
   * @example
   * const slots = TargetSlots.create(clock);
   */
  static create(clock: Clock): TargetSlots {
    return new TargetSlots(clock);
  }

  /** Number of targets. */
  get size(): number {
    return this.members.size;
  }

  /** Slots of all targets that may be used. */
  get total(): number {
    return this.totalSlots;
  }

  /** Slots of all targets that are free. */
  get free(): number {
    return Math.max(0, this.totalSlots - this.busySlots);
  }

  /** Targets that can take a piece of work now. */
  get available(): ReadonlySet<TargetRecord> {
    return this.availableTargets;
  }

  targets(): TargetRecord[] {
    return [...this.members.values()];
  }

  /** Whether a target counts with the slots that it may use now. */
  isUpToDate(record: TargetRecord): boolean {
    const allowed = this.allowedSlotsOf(record);
    return this.allowedSlotsByTarget.get(record) === allowed;
  }

  /** Adds a target, which counts after the next `recount`. */
  add(record: TargetRecord): void {
    this.members.set(record.id, record);
  }

  remove(record: TargetRecord): void {
    this.members.delete(record.id);
    this.availableTargets.delete(record);
    this.allowedSlotsByTarget.delete(record);
  }

  /** Counts work as sent to (1) or ended at (-1) a target. */
  adjustInFlight(record: TargetRecord, delta: 1 | -1): void {
    const allowed = this.allowedSlotsByTarget.get(record) ?? 0;
    const busyBefore = Math.min(record.inFlight, allowed);
    record.inFlight += delta;
    if (this.members.get(record.id) === record) {
      this.busySlots += Math.min(record.inFlight, allowed) - busyBefore;
      this.updateAvailability(record);
    }
  }

  /** Counts the slots of all targets again, after their states have changed. */
  recount(): void {
    const records = this.targets();
    const ejected = records.filter(r => r.health.kind === 'ejected').length;
    this.tooManyEjected = ejected > records.length * MAX_EJECTED_FRACTION;
    this.totalSlots = 0;
    this.busySlots = 0;
    for (const record of records) {
      const allowed = this.allowedSlotsOf(record);
      this.allowedSlotsByTarget.set(record, allowed);
      this.totalSlots += allowed;
      this.busySlots += Math.min(record.inFlight, allowed);
      const isAvailable = this.availableTargets.has(record);
      if (isAvailable !== this.hasCapacity(record)) {
        this.updateAvailability(record);
      }
    }
  }

  /** Whether a task fits on a worker that has no other task. */
  fitsAnyWorker(needs: Resources): boolean {
    return this.targets().some(
      record =>
        record.announcement.worker &&
        fitsIn(needs, record.announcement.worker.total),
    );
  }

  /** Largest resources of the workers, by resource. */
  largestWorkerResources(): PoolDigest['largest'] {
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

  private hasCapacity(record: TargetRecord): boolean {
    return (
      record.inFlight < this.allowedSlotsOf(record) &&
      record.busyUntilMs <= this.clock.now()
    );
  }

  private updateAvailability(record: TargetRecord): void {
    this.availableTargets.delete(record);
    if (this.hasCapacity(record)) {
      this.availableTargets.add(record);
    }
  }

  private allowedSlotsOf(record: TargetRecord): number {
    return allowedSlots(
      record.health,
      record.announcement.slots,
      this.tooManyEjected,
    );
  }
}
