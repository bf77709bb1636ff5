import type {ReplicaSet} from './replica_set.js';

/**
 * State after the entry at `index`; replaces all entries up to that index.
 */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly replicas: ReplicaSet;
  readonly state: Uint8Array;
}
