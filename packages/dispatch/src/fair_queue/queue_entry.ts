import type {Work} from '@papayarun/protocol';

/**
 * Work that waits for a slot.
 */
export interface QueueEntry {
  readonly work: Work;
  /** Monotonic time at which the work was queued, in milliseconds. */
  readonly queuedMs: number;
  /** Expected run time in milliseconds, used as the cost in fair queuing. */
  readonly costMs: number;
  /** Whether the entry no longer waits. */
  removed: boolean;
}
