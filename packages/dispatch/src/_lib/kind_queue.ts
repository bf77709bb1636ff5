import type {CallerId} from '@papayarun/protocol';
import type {QueueEntry} from '../fair_queue/queue_entry.js';
import type {QueuedItem} from './caller_queue.js';
import {CallerQueue} from './caller_queue.js';

const URGENCY_LEVELS = 4;

/** Position of an entry that can start. */
export interface EntryLocation<Run> {
  readonly urgency: number;
  readonly caller: CallerId;
  readonly queue: CallerQueue<Run>;
  readonly position: number;
}

/**
 * Waiting entries of one kind of work: the most urgent first, and fair between
 * callers within an urgency.
 */
export class KindQueue<Run> {
  private readonly levels: Array<Map<CallerId, CallerQueue<Run>>> = [];
  private readonly virtualTimeByUrgency: number[] = [];
  /** Virtual start time of this kind's next entry. */
  startTag = 0;
  size = 0;
  readonly sizeByUrgency: number[] = [];

  private constructor() {
    for (let i = 0; i < URGENCY_LEVELS; i++) {
      this.levels.push(new Map());
      this.virtualTimeByUrgency.push(0);
      this.sizeByUrgency.push(0);
    }
  }

  static create<Run>(): KindQueue<Run> {
    return new KindQueue<Run>();
  }

  push(item: QueuedItem<Run>): void {
    const {urgency, caller} = item.entry.work;
    const level = this.levels[urgency]!;
    let queue = level.get(caller);
    if (!queue) {
      queue = CallerQueue.create<Run>();
      level.set(caller, queue);
    }
    if (queue.size === 0) {
      queue.startTag = Math.max(
        queue.startTag,
        this.virtualTimeByUrgency[urgency]!,
      );
    }
    queue.push(item);
    this.adjustSize(urgency, 1);
  }

  find(
    canStart: (entry: QueueEntry) => boolean,
  ): EntryLocation<Run> | undefined {
    for (let urgency = URGENCY_LEVELS - 1; urgency >= 0; urgency--) {
      const found = this.findInLevel(urgency, canStart);
      if (found) {
        return found;
      }
    }
    return undefined;
  }

  take(found: EntryLocation<Run>): QueuedItem<Run> {
    const item = found.queue.take(found.position);
    this.adjustSize(found.urgency, -1);
    this.virtualTimeByUrgency[found.urgency] = found.queue.startTag;
    found.queue.startTag += item.entry.costMs;
    return item;
  }

  /** Updates the sizes after an entry was marked as removed. */
  recordRemoval(entry: QueueEntry): void {
    const {urgency, caller} = entry.work;
    this.levels[urgency]!.get(caller)!.size--;
    this.adjustSize(urgency, -1);
  }

  /**
   * Number of entries that start before a new entry of a caller.
   *
   * @description Counts all more urgent entries, plus one entry of each waiting
   * caller of the same urgency for each entry that the caller has queued and
   * for the new one. Waiting callers are assumed to keep sending work, so each
   * of them starts one entry per round.
   */
  ahead(urgency: number, caller: CallerId): number {
    const level = this.levels[urgency]!;
    const own = level.get(caller)?.size ?? 0;
    const moreUrgent = this.sizeByUrgency
      .slice(urgency + 1)
      .reduce((sum, n) => sum + n, 0);
    let waitingCallers = 0;
    for (const queue of level.values()) {
      waitingCallers += queue.size > 0 ? 1 : 0;
    }
    return moreUrgent + waitingCallers * (own + 1);
  }

  private adjustSize(urgency: number, delta: 1 | -1): void {
    this.size += delta;
    this.sizeByUrgency[urgency]! += delta;
  }

  private findInLevel(
    urgency: number,
    canStart: (entry: QueueEntry) => boolean,
  ): EntryLocation<Run> | undefined {
    const level = this.levels[urgency]!;
    let best: EntryLocation<Run> | undefined;
    for (const [caller, queue] of level) {
      if (queue.isEmpty()) {
        // An empty queue is kept until the virtual time reaches its start tag.
        // Otherwise the caller would return ahead of callers served less.
        if (queue.startTag <= this.virtualTimeByUrgency[urgency]!) {
          level.delete(caller);
        }
        continue;
      }
      if (best && best.queue.startTag <= queue.startTag) {
        continue;
      }
      const position = queue.findStartable(canStart);
      if (position >= 0) {
        best = {urgency, caller, queue, position};
      }
    }
    return best;
  }
}
