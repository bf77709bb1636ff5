import type {Work} from '@papayarun/protocol';

/**
 * Work that waits, with the function that starts it.
 */
export interface QueueEntry {
  readonly work: Work;
  /** Monotonic time it was queued at, in milliseconds. */
  readonly queuedMs: number;
  /** Expected run time in milliseconds: its cost in the fair shares. */
  readonly costMs: number;
  removed: boolean;
}
