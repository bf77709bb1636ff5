import type {KindId, Work} from '@papayarun/protocol';
import type {Queue} from 'p-queue';
import type {EntryLocation} from '../_lib/kind_queue.js';
import {KindQueue} from '../_lib/kind_queue.js';
import type {FairQueueHooks} from './fair_queue_hooks.js';
import type {QueueEntry} from './queue_entry.js';

/** Start function as passed by p-queue. */
type Run = () => Promise<unknown>;

/** Options as passed by p-queue with an entry. */
interface EntryOptions {
  readonly entry?: QueueEntry;
}

interface NextEntry {
  readonly kindQueue: KindQueue<Run>;
  readonly location: EntryLocation<Run>;
}

/**
 * Queue class for p-queue with start-time fair queuing between kinds of work.
 *
 * @description Start-time fair queuing (Goyal, Vin and Cheng, 1996) over
 * kinds, weighted by their shares. Within a kind the most urgent entries start
 * first, and entries of the same urgency are fair between callers. `size` tells
 * p-queue only whether an entry can start now; `waiting` is the number of all
 * entries.
 */
export class FairQueue implements Queue<Run, EntryOptions> {
  private readonly queues = new Map<KindId, KindQueue<Run>>();
  private virtualTime = 0;
  private waitingCount = 0;
  private next: NextEntry | undefined;

  private constructor(private readonly hooks: FairQueueHooks) {}

  /**
   * Creates an empty queue.
   *
   * @param hooks - Weights of the kinds and tests of what can start.
   * @returns The queue.
   * @example
   * const queue = FairQueue.create(hooks);
   */
  static create(hooks: FairQueueHooks): FairQueue {
    return new FairQueue(hooks);
  }

  /** 1 if an entry can start now, else 0. */
  get size(): number {
    this.next = this.findNext();
    return this.next ? 1 : 0;
  }

  /** Number of waiting entries. */
  get waiting(): number {
    return this.waitingCount;
  }

  enqueue(run: Run, options?: Partial<EntryOptions>): void {
    const entry = options!.entry!;
    const kindQueue = this.kindQueueOf(entry.work.kind);
    if (kindQueue.size === 0) {
      kindQueue.startTag = Math.max(kindQueue.startTag, this.virtualTime);
    }
    kindQueue.push({entry, run});
    this.waitingCount++;
  }

  dequeue(): Run | undefined {
    const next = this.next ?? this.findNext();
    this.next = undefined;
    if (!next) {
      return undefined;
    }
    const {entry, run} = next.kindQueue.take(next.location);
    this.waitingCount--;
    this.virtualTime = next.kindQueue.startTag;
    next.kindQueue.startTag +=
      entry.costMs / this.hooks.weightOf(entry.work.kind);
    return run;
  }

  /**
   * Removes an entry whose wait was ended.
   *
   * @param entry - Entry to remove.
   * @returns Whether it was still waiting.
   */
  removeEntry(entry: QueueEntry): boolean {
    if (entry.removed) {
      return false;
    }
    entry.removed = true;
    this.next = undefined;
    this.waitingCount--;
    this.queues.get(entry.work.kind)!.recordRemoval(entry);
    return true;
  }

  /** Number of waiting entries that would start before the given new work. */
  waitingAhead(work: Work): number {
    return this.queues.get(work.kind)?.ahead(work.urgency, work.caller) ?? 0;
  }

  /** Number of waiting entries of a kind. */
  waitingOfKind(kind: KindId): number {
    return this.queues.get(kind)?.size ?? 0;
  }

  /** Kinds with waiting entries. */
  backloggedKinds(): KindId[] {
    return [...this.queues].filter(([, q]) => q.size > 0).map(([kind]) => kind);
  }

  filter(): Run[] {
    return [];
  }

  setPriority(): void {
    // Urgency is fixed when the work is submitted.
  }

  private findNext(): NextEntry | undefined {
    if (this.waitingCount === 0 || !this.hooks.hasCapacity()) {
      return undefined;
    }
    let best: NextEntry | undefined;
    for (const kindQueue of this.queues.values()) {
      if (
        kindQueue.size === 0 ||
        (best && best.kindQueue.startTag <= kindQueue.startTag)
      ) {
        continue;
      }
      const location = kindQueue.find(entry => this.hooks.canStart(entry));
      if (location) {
        best = {kindQueue, location};
      }
    }
    return best;
  }

  private kindQueueOf(id: KindId): KindQueue<Run> {
    let kindQueue = this.queues.get(id);
    if (!kindQueue) {
      kindQueue = KindQueue.create<Run>();
      this.queues.set(id, kindQueue);
    }
    return kindQueue;
  }
}
