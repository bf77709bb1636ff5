import type {ReplicaSet} from '@papayarun/protocol';

/**
 * A single change of the members of the log.
 */
export interface ReplicaSetChange {
  readonly kind:
    | 'voterRemoved'
    | 'voterDemoted'
    | 'learnerAdded'
    | 'learnerPromoted'
    | 'learnerRemoved';
  /** Members after the change. */
  readonly replicas: ReplicaSet;
}
