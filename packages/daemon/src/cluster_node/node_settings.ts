import type {DataCentreId, InstanceId, InstanceRole} from '@papayarun/protocol';

/**
 * Names, addresses and periods of an instance that finds its peers itself.
 */
export interface NodeSettings {
  /** `host:port` of its listener for peers; unique, and enough to reach it. */
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly role: InstanceRole;
  readonly host: string;
  readonly port: number;
  /** State instances to begin with; some may be down or replaced. */
  readonly seeds: readonly InstanceId[];
  /** Shared key of the links between instances. */
  readonly peerKey: string;
  readonly heartbeatMs: number;
  readonly peerTimeoutMs: number;
  readonly electionTimeoutMs: number;
}
