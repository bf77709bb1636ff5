import type {Work} from '@papayarun/protocol';
import {addResources, fitsIn} from '@papayarun/protocol';
import {addTo} from '../_lib/add_to.js';
import type {QueueEntry} from '../fair_queue/queue_entry.js';
import {freeResources} from '../resources/free_resources.js';
import type {TargetRecord} from '../target_registry/target_record.js';

/** Targets looked at for one placement. */
const CANDIDATES = 32;
/** Wait after which a task that doesn't fit gets a worker reserved. */
const RESERVE_AFTER_MS = 3_000;
/** Load that one task of the same job in a rack counts as. */
const RACK_PENALTY = 0.25;

interface Reservation {
  readonly record: TargetRecord;
  readonly entry: QueueEntry;
}

/**
 * Chooses the target or worker that gets a piece of work.
 *
 * @description The least loaded with room; for a task it must fit into what is
 * free, other tasks of its job in the rack count as load, and a worker may be
 * reserved for a large task that smaller ones would overtake for ever.
 */
export class Placement {
  /** Running tasks by job and rack. */
  private readonly jobRacks = new Map<string, number>();
  private reserved: Reservation | undefined;

  private constructor() {}

  /**
   * Makes a placement without reservations.
   *
   * @returns The placement.
   * @example
   * const placement = Placement.create();
   */
  static create(): Placement {
    return new Placement();
  }

  /** The best of the targets with room, or undefined when none fits. */
  pick(
    open: Iterable<TargetRecord>,
    entry: QueueEntry,
  ): TargetRecord | undefined {
    let best: TargetRecord | undefined;
    let bestScore = Infinity;
    let seen = 0;
    for (const record of open) {
      if (++seen > CANDIDATES && best) {
        break;
      }
      const score = this.scoreOf(record, entry);
      if (score < bestScore) {
        best = record;
        bestScore = score;
      }
    }
    return best;
  }

  /** Keeps a worker free for a task that has waited long, one at a time. */
  reserveFor(
    entry: QueueEntry,
    targets: readonly TargetRecord[],
    nowMs: number,
  ): void {
    const isOverdue = nowMs - entry.queuedMs > RESERVE_AFTER_MS;
    if (!isOverdue || this.isReserved()) {
      return;
    }
    const {needs} = entry.work;
    const large = targets.filter(record =>
      fitsIn(needs!, record.announcement.worker!.total),
    );
    const record = large.sort((a, b) => a.placed.cores - b.placed.cores)[0];
    this.reserved = record && {record, entry};
  }

  /** Counts a task as placed (1) or ended (-1). */
  count(record: TargetRecord, work: Work, sign: 1 | -1): void {
    if (work.needs) {
      record.placed = addResources(record.placed, work.needs, sign);
    }
    if (work.job) {
      addTo(this.jobRacks, keyOf(work, record.announcement.worker?.rack), sign);
    }
  }

  /** Drops the reservation of a target that is gone. */
  forget(record: TargetRecord): void {
    if (this.reserved?.record === record) {
      this.reserved = undefined;
    }
  }

  /** Lower is better; infinite when the entry doesn't fit. */
  private scoreOf(record: TargetRecord, entry: QueueEntry): number {
    const {worker, slots} = record.announcement;
    const load = record.inFlight / slots;
    const {needs} = entry.work;
    if (!worker || !needs) {
      return load;
    }
    const isKeptFree =
      this.isReserved() &&
      this.reserved!.record === record &&
      this.reserved!.entry !== entry;
    const free = freeResources(worker.total, worker.used, record.placed);
    if (isKeptFree || !fitsIn(needs, free)) {
      return Infinity;
    }
    const sameJob = this.jobRacks.get(keyOf(entry.work, worker.rack)) ?? 0;
    return load + RACK_PENALTY * sameJob;
  }

  private isReserved(): boolean {
    return this.reserved !== undefined && !this.reserved.entry.removed;
  }
}

function keyOf(work: Work, rack: string | undefined): string {
  return `${work.job} ${rack}`;
}
