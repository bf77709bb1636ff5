import type {LogEntry, LogSnapshot, ReplicaId} from '@papayarun/protocol';

/**
 * Journal record of one change of a replica's durable state.
 */
export type JournalRecord =
  | {readonly k: 'meta'; readonly version: 1; readonly replicaId: ReplicaId}
  | {
      readonly k: 'vote';
      readonly term: number;
      readonly votedFor: ReplicaId | null;
    }
  | {readonly k: 'entry'; readonly entry: LogEntry}
  /** Removes the entries from this index onwards. */
  | {readonly k: 'cut'; readonly index: number}
  | {readonly k: 'commit'; readonly index: number}
  | {readonly k: 'snapshot'; readonly snapshot: LogSnapshot};
