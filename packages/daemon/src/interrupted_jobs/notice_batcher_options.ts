/**
 * Options of a notice batcher.
 */
export interface NoticeBatcherOptions<T> {
  /** Delay of a notice within the allowed rate, in milliseconds. */
  readonly delayMs: number;
  /** Interval between two notices in the long run, in milliseconds. */
  readonly intervalMs: () => number;
  /** Notices that may be sent without this interval. */
  readonly burst: number;
  /** Most items in a notice. */
  readonly maxItems: number;
  /** Called with the items that a full notice has no room for. */
  readonly onDropped?: (items: readonly T[]) => void;
  /** Sends a notice. */
  readonly send: (items: readonly T[]) => void;
}
