import type {ReplicaId} from '../ids/replica_id.js';
import type {LogEntry} from './log_entry.js';
import type {LogSnapshot} from './log_snapshot.js';

/**
 * Sends entries, or a snapshot, from the leader to a replica.
 */
export interface AppendCall {
  readonly req: {
    readonly to: ReplicaId;
    readonly leader: ReplicaId;
    readonly term: number;
    readonly prevIndex: number;
    readonly prevTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
    readonly snapshot?: LogSnapshot;
  };
  readonly res: {
    readonly term: number;
    readonly ok: boolean;
    /** Highest index known to match, or a hint for the next index to try. */
    readonly matchIndex: number;
  };
}
