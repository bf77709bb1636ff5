import type {Clock} from '@papayarun/protocol';
import type {ReplicaLog} from '../replica_log/replica_log.js';

/**
 * Options of the writes of a leader.
 */
export interface GroupCommitOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly log: ReplicaLog;
  /** Term of the leader. */
  readonly term: number;
  /** Time in which an entry has to be committed, in milliseconds. */
  readonly timeoutMs: number;
  /** Runs a change of durable state when all others have ended. */
  readonly runExclusive: (change: () => Promise<void>) => Promise<void>;
  /** Called in the change of a write that is synced. */
  readonly onWritten: () => Promise<void>;
  /** Called in the change of a write that failed. */
  readonly onFailed: (err: unknown) => void;
}
