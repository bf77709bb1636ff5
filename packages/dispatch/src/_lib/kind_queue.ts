import type {CallerId} from '@papayarun/protocol';
import type {QueueEntry} from '../fair_queue/queue_entry.js';
import type {Queued} from './caller_queue.js';
import {CallerQueue} from './caller_queue.js';

const URGENCIES = 4;

/** Where an entry that can start stands. */
export interface Found<Run> {
  readonly urgency: number;
  readonly caller: CallerId;
  readonly queue: CallerQueue<Run>;
  readonly position: number;
}

/**
 * Waiting entries of one kind of work: most urgent first, callers in turn.
 */
export class KindQueue<Run> {
  private readonly levels: Array<Map<CallerId, CallerQueue<Run>>> = [];
  private readonly levelTag: number[] = [];
  /** Virtual time at which this kind's next entry starts. */
  startTag = 0;
  size = 0;
  readonly sizeByUrgency: number[] = [];

  private constructor() {
    for (let i = 0; i < URGENCIES; i++) {
      this.levels.push(new Map());
      this.levelTag.push(0);
      this.sizeByUrgency.push(0);
    }
  }

  static create<Run>(): KindQueue<Run> {
    return new KindQueue<Run>();
  }

  push(item: Queued<Run>): void {
    const {urgency, caller} = item.entry.work;
    const level = this.levels[urgency]!;
    let queue = level.get(caller);
    if (!queue) {
      queue = CallerQueue.create<Run>();
      level.set(caller, queue);
    }
    if (queue.size === 0) {
      queue.startTag = Math.max(queue.startTag, this.levelTag[urgency]!);
    }
    queue.push(item);
    this.count(urgency, 1);
  }

  find(canStart: (entry: QueueEntry) => boolean): Found<Run> | undefined {
    for (let urgency = URGENCIES - 1; urgency >= 0; urgency--) {
      const found = this.findInLevel(urgency, canStart);
      if (found) {
        return found;
      }
    }
    return undefined;
  }

  take(found: Found<Run>): Queued<Run> {
    const item = found.queue.take(found.position);
    this.count(found.urgency, -1);
    this.levelTag[found.urgency] = found.queue.startTag;
    found.queue.startTag += item.entry.costMs;
    return item;
  }

  /** Takes note that an entry nobody waits for was removed. */
  removed(entry: QueueEntry): void {
    const {urgency, caller} = entry.work;
    this.levels[urgency]!.get(caller)!.size--;
    this.count(urgency, -1);
  }

  /**
   * Entries that start before a new one of a caller.
   *
   * @description All that are more urgent, and as many turns of its own level
   * as it has entries before: callers that wait keep coming, so in each turn
   * every one of them starts one.
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

  private count(urgency: number, by: 1 | -1): void {
    this.size += by;
    this.sizeByUrgency[urgency]! += by;
  }

  private findInLevel(
    urgency: number,
    canStart: (entry: QueueEntry) => boolean,
  ): Found<Run> | undefined {
    const level = this.levels[urgency]!;
    let best: Found<Run> | undefined;
    for (const [caller, queue] of level) {
      if (queue.isEmpty()) {
        // Kept until its turn has passed, else it would come back before
        // callers that were served less.
        if (queue.startTag <= this.levelTag[urgency]!) {
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
