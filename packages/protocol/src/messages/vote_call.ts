import type {ReplicaId} from '../ids/replica_id.js';

/**
 * Requests a replica's vote, or asks whether it would grant it (pre-vote).
 */
export interface VoteCall {
  readonly req: {
    readonly to: ReplicaId;
    readonly candidate: ReplicaId;
    readonly pre: boolean;
    readonly term: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
  };
  readonly res: {readonly term: number; readonly granted: boolean};
}
