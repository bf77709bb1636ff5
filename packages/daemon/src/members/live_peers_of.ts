import type {Membership} from '@papayarun/membership';
import type {
  DataCentreId,
  InstanceId,
  InstanceRole,
  PeerNetwork,
} from '@papayarun/protocol';

/**
 * Instances of a role that are linked and alive.
 *
 * @param role - The role.
 * @param membership - Membership of this instance.
 * @param network - Its links.
 * @returns Their data centres by id.
 * @throws Never.
 * @example
 * const entries = livePeersOf('entry', membership, network);
 */
export function livePeersOf(
  role: InstanceRole,
  membership: Pick<Membership, 'livePeers'>,
  network: Pick<PeerNetwork, 'connectedPeers'>,
): Map<InstanceId, DataCentreId> {
  const linked = new Set(network.connectedPeers());
  const peers = new Map<InstanceId, DataCentreId>();
  for (const {instanceId, heartbeat} of membership.livePeers()) {
    if (heartbeat.role === role && linked.has(instanceId)) {
      peers.set(instanceId, heartbeat.dataCentre);
    }
  }
  return peers;
}
