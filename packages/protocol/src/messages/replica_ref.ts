import type {InstanceId} from '../ids/instance_id.js';
import type {ReplicaId} from '../ids/replica_id.js';

/**
 * A replica and the instance it lives on.
 */
export interface ReplicaRef {
  readonly replicaId: ReplicaId;
  readonly instanceId: InstanceId;
}
