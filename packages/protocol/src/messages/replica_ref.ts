import type {InstanceId} from '../ids/instance_id.js';
import type {ReplicaId} from '../ids/replica_id.js';

/**
 * A replica and the instance that hosts it.
 */
export interface ReplicaRef {
  readonly replicaId: ReplicaId;
  readonly instanceId: InstanceId;
}
