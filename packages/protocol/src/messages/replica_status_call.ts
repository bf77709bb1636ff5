import type {ReplicaId} from '../ids/replica_id.js';
import type {ReplicaSet} from './replica_set.js';

/**
 * Requests the status of an instance's replica.
 */
export interface ReplicaStatusCall {
  readonly req: Record<string, never>;
  readonly res: {
    /** Absent on an instance without a disk. */
    readonly replicaId?: ReplicaId;
    /** Whether its log is still empty. */
    readonly blank: boolean;
    /** Whether it is a voter according to its own log. */
    readonly voter: boolean;
    readonly replicas?: ReplicaSet;
    readonly role: 'none' | 'follower' | 'candidate' | 'leader' | 'failed';
    readonly term: number;
    readonly commitIndex: number;
    /** Index of the last command that the instance has applied. */
    readonly stateIndex: number;
  };
}
