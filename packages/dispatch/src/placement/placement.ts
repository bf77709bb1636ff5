import type {Work} from '@papayarun/protocol';
import {addResources, fitsIn} from '@papayarun/protocol';
import {addToCount} from '../_lib/add_to_count.js';
import type {QueueEntry} from '../fair_queue/queue_entry.js';
import {freeResources} from '../resources/free_resources.js';
import type {TargetRecord} from '../target_registry/target_record.js';

/** Targets examined for one placement, unless none of them fits. */
const MAX_CANDIDATES = 32;
/** Wait after which a worker is reserved for a task that does not fit, in milliseconds. */
const RESERVE_AFTER_MS = 3_000;
/** Load added to a worker for each running task of the same job in its rack. */
const SAME_JOB_RACK_PENALTY = 0.25;

interface Reservation {
  readonly record: TargetRecord;
  readonly entry: QueueEntry;
}

/**
 * Chooses the target or worker that gets a piece of work.
 *
 * @description Chooses the least loaded available target. A task must fit into
 * the free resources of a worker, and running tasks of its job in the same rack
 * count as load. A worker may be reserved for a large task, which smaller tasks
 * would otherwise starve.
 */
export class Placement {
  /** Number of running tasks by job and rack. */
  private readonly runningByJobAndRack = new Map<string, number>();
  private reservation: Reservation | undefined;

  private constructor() {}

  /**
   * Creates a placement without reservations.
   *
   * @returns The placement.
   * @example
   * const placement = Placement.create();
   */
  static create(): Placement {
    return new Placement();
  }

  /** The best of the available targets, or undefined when none fits. */
  pick(
    availableTargets: Iterable<TargetRecord>,
    entry: QueueEntry,
  ): TargetRecord | undefined {
    let best: TargetRecord | undefined;
    let bestScore = Infinity;
    let examined = 0;
    for (const record of availableTargets) {
      if (++examined > MAX_CANDIDATES && best) {
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

  /**
   * Reserves a worker for a task that has waited longer than RESERVE_AFTER_MS;
   * there is at most one reservation at a time.
   */
  reserveFor(
    entry: QueueEntry,
    targets: readonly TargetRecord[],
    nowMs: number,
  ): void {
    const isOverdue = nowMs - entry.queuedMs > RESERVE_AFTER_MS;
    if (!isOverdue || this.hasReservation()) {
      return;
    }
    const {needs} = entry.work;
    const largeEnough = targets.filter(record =>
      fitsIn(needs!, record.announcement.worker!.total),
    );
    const record = largeEnough.sort(
      (a, b) => a.placed.cores - b.placed.cores,
    )[0];
    this.reservation = record && {record, entry};
  }

  /** Counts a task as placed (1) or ended (-1). */
  adjustPlaced(record: TargetRecord, work: Work, delta: 1 | -1): void {
    if (work.needs) {
      record.placed = addResources(record.placed, work.needs, delta);
    }
    if (work.job) {
      addToCount(
        this.runningByJobAndRack,
        jobRackKey(work, record.announcement.worker?.rack),
        delta,
      );
    }
  }

  /** Drops the reservation of a removed target. */
  dropReservation(record: TargetRecord): void {
    if (this.reservation?.record === record) {
      this.reservation = undefined;
    }
  }

  /** Score of a target for an entry; lower is better, Infinity if it does not fit. */
  private scoreOf(record: TargetRecord, entry: QueueEntry): number {
    const {worker, slots} = record.announcement;
    const load = record.inFlight / slots;
    const {needs} = entry.work;
    if (!worker || !needs) {
      return load;
    }
    const isReservedForOther =
      this.hasReservation() &&
      this.reservation!.record === record &&
      this.reservation!.entry !== entry;
    const free = freeResources(worker.total, worker.used, record.placed);
    if (isReservedForOther || !fitsIn(needs, free)) {
      return Infinity;
    }
    const sameJobTasks =
      this.runningByJobAndRack.get(jobRackKey(entry.work, worker.rack)) ?? 0;
    return load + SAME_JOB_RACK_PENALTY * sameJobTasks;
  }

  private hasReservation(): boolean {
    return this.reservation !== undefined && !this.reservation.entry.removed;
  }
}

function jobRackKey(work: Work, rack: string | undefined): string {
  return `${work.job} ${rack}`;
}
