import type {KindId} from '@papayarun/protocol';
import type {QueueEntry} from './queue_entry.js';

/**
 * Callbacks by which a fair queue queries its pool.
 */
export interface FairQueueHooks {
  weightOf(kind: KindId): number;
  /** Cheap test that is false when no entry at all can start now. */
  hasCapacity(): boolean;
  /** Whether this entry can start now. */
  canStart(entry: QueueEntry): boolean;
}
