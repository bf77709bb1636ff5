import type {KindId} from '@papayarun/protocol';
import type {QueueEntry} from './queue_entry.js';

/**
 * What the queue asks of the pool it feeds.
 */
export interface FairQueueHooks {
  weightOf(kind: KindId): number;
  /** Cheap test: false when nothing at all can start now. */
  hasRoom(): boolean;
  /** Whether this entry can start now. */
  canStart(entry: QueueEntry): boolean;
}
