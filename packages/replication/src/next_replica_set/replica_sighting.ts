import type {InstanceId, ReplicaId} from '@papayarun/protocol';

/**
 * The replica that an instance says it has.
 */
export interface ReplicaSighting {
  readonly instanceId: InstanceId;
  readonly replicaId: ReplicaId;
  /** Whether its log is empty, or it never was a voter. */
  readonly joinable: boolean;
}
