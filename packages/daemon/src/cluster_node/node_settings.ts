import type {DataCentreId, InstanceId, InstanceRole} from '@papayarun/protocol';

/**
 * Identity, addresses and timing of an instance that discovers its peers.
 */
export interface NodeSettings {
  /** `host:port` of its listener for peers; unique, and used to connect to it. */
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly role: InstanceRole;
  readonly host: string;
  readonly port: number;
  /** State instances to discover peers from; some may be down or replaced. */
  readonly seeds: readonly InstanceId[];
  /** Shared key that authenticates the links between instances. */
  readonly peerKey: string;
  readonly heartbeatMs: number;
  readonly peerTimeoutMs: number;
  readonly electionTimeoutMs: number;
  /**
   * Time within which nothing is started any more in an evacuated data centre, in
   * milliseconds; absent where evacuations are not enabled.
   */
  readonly evacuationMs?: number;
}
