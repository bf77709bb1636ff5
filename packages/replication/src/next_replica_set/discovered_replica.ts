import type {InstanceId, ReplicaId} from '@papayarun/protocol';

/**
 * Replica that an instance reports in its status.
 */
export interface DiscoveredReplica {
  readonly instanceId: InstanceId;
  readonly replicaId: ReplicaId;
  /** Whether it may be added: its log is empty, or its log does not list it as a voter. */
  readonly joinable: boolean;
}
