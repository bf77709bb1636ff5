import type {DataCentreId, InstanceId} from '@papayarun/protocol';

/**
 * Network address of a peer.
 */
export interface PeerAddress {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly host: string;
  readonly port: number;
  /** Whether the instance has a replica of the release log. */
  readonly replica: boolean;
}
