import type {EntryBody} from './entry_body.js';

/**
 * Entry that waits for the next write of the leader.
 */
export interface QueuedEntry {
  readonly body: EntryBody;
  /** Called once, when the entry is stored or never will be. */
  readonly onEnd: (end: QueuedEntryEnd) => void;
}

/**
 * End of the wait of an entry.
 *
 * @description `stored`: synced by this replica. `notStored`: it never will be.
 * `failed`: the disk failed, so that it may be stored.
 */
export type QueuedEntryEnd =
  | {readonly kind: 'stored'; readonly index: number}
  | {readonly kind: 'notStored'}
  | {readonly kind: 'failed'; readonly reason: string};
