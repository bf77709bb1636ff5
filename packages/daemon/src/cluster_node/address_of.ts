import type {PeerAddress} from '@papayarun/membership';
import type {DataCentreId, InstanceId} from '@papayarun/protocol';

/**
 * Address that a discovered instance listens on for peers.
 *
 * @param id - Id of the instance, `host:port`.
 * @returns Its address; the data centre isn't part of the id and left empty.
 * @throws Never.
 * @example
 * addressOf('10.0.1.11:7720' as InstanceId).port; // 7720
 */
export function addressOf(id: InstanceId): PeerAddress {
  const at = id.lastIndexOf(':');
  return {
    instanceId: id,
    dataCentre: '' as DataCentreId,
    host: id.slice(0, at),
    port: Number(id.slice(at + 1)),
    replica: false,
  };
}
