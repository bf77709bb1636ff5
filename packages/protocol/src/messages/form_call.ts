import type {ReplicaSet} from './replica_set.js';

/**
 * Bootstraps a new replicated log on replicas whose log is empty.
 */
export interface FormCall {
  readonly req: {readonly replicas: ReplicaSet};
  readonly res: {readonly ok: boolean; readonly reason: string};
}
