import type {DataCentreId, InstanceId} from '@papayarun/protocol';

/**
 * Where a peer listens.
 */
export interface PeerAddress {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly host: string;
  readonly port: number;
  readonly replica: boolean;
}
