import type {ReplicaRef} from './replica_ref.js';

/**
 * Members of the replicated log.
 */
export interface ReplicaSet {
  readonly voters: readonly ReplicaRef[];
  /** Replicas that receive the log but don't count towards a quorum. */
  readonly learners: readonly ReplicaRef[];
}
