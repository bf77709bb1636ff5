import type {ReplicaId} from '../ids/replica_id.js';
import type {ReplicaSet} from './replica_set.js';

/**
 * Asks an instance about its replica.
 */
export interface ReplicaStatusCall {
  readonly req: Record<string, never>;
  readonly res: {
    /** Absent on an instance that has no disk. */
    readonly replicaId?: ReplicaId;
    /** Whether its log is still empty. */
    readonly blank: boolean;
    /** Whether it votes, by its own log. */
    readonly voter: boolean;
    readonly replicas?: ReplicaSet;
    readonly role: 'none' | 'follower' | 'candidate' | 'leader' | 'failed';
    readonly term: number;
    readonly commitIndex: number;
    /** Highest command index that the instance has applied. */
    readonly stateIndex: number;
  };
}
