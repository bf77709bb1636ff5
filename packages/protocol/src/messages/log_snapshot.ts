import type {ReplicaSet} from './replica_set.js';

/**
 * State after the entry at `index`, in place of the entries up to it.
 */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly replicas: ReplicaSet;
  readonly state: Uint8Array;
}
