import type {ReplicaSet} from './replica_set.js';

/**
 * Forms a new replicated log over blank replicas.
 */
export interface FormCall {
  readonly req: {readonly replicas: ReplicaSet};
  readonly res: {readonly ok: boolean; readonly reason: string};
}
