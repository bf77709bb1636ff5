import Denque from 'denque';
import type {QueueEntry} from '../fair_queue/queue_entry.js';

/**
 * Entries examined from the front of the queue: a later one of these may start
 * before one that does not fit on a worker.
 */
const LOOKAHEAD = 16;

/** An entry with the function by which p-queue starts it. */
export interface QueuedItem<Run> {
  readonly entry: QueueEntry;
  readonly run: Run;
}

/**
 * Waiting entries of one caller, kind and urgency, first in first out.
 */
export class CallerQueue<Run> {
  private readonly items = new Denque<QueuedItem<Run>>();
  /** Virtual start time of this caller's next entry. */
  startTag = 0;
  /** Number of waiting entries, without removed ones. */
  size = 0;

  private constructor() {}

  static create<Run>(): CallerQueue<Run> {
    return new CallerQueue<Run>();
  }

  push(item: QueuedItem<Run>): void {
    this.size++;
    this.items.push(item);
  }

  isEmpty(): boolean {
    this.dropRemoved();
    return this.items.isEmpty();
  }

  /** Position of the first entry that can start, or -1. */
  findStartable(canStart: (entry: QueueEntry) => boolean): number {
    this.dropRemoved();
    const end = Math.min(LOOKAHEAD, this.items.length);
    for (let i = 0; i < end; i++) {
      const {entry} = this.items.peekAt(i)!;
      if (!entry.removed && canStart(entry)) {
        return i;
      }
      if (entry.work.needs === undefined) {
        return -1;
      }
    }
    return -1;
  }

  take(position: number): QueuedItem<Run> {
    this.size--;
    return this.items.removeOne(position)!;
  }

  private dropRemoved(): void {
    while (this.items.peekFront()?.entry.removed) {
      this.items.shift();
    }
  }
}
