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
      queue.startTag = this.levelTag[urgency]!;
      level.set(caller, queue);
    }
    queue.push(item);
    this.size++;
    this.sizeByUrgency[urgency]!++;
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
    this.levelTag[found.urgency] = found.queue.startTag;
    found.queue.startTag += item.entry.costMs;
    this.removed(found.urgency);
    return item;
  }

  removed(urgency: number): void {
    this.size--;
    this.sizeByUrgency[urgency]!--;
  }

  private findInLevel(
    urgency: number,
    canStart: (entry: QueueEntry) => boolean,
  ): Found<Run> | undefined {
    const level = this.levels[urgency]!;
    let best: Found<Run> | undefined;
    for (const [caller, queue] of level) {
      if (queue.isEmpty()) {
        level.delete(caller);
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
