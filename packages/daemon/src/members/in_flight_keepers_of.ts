import type {Membership} from '@papayarun/membership';
import type {InstanceId, PeerNetwork} from '@papayarun/protocol';
import type {InFlightKeeper} from '../interrupted_jobs/in_flight_keeper.js';

/**
 * State instances that are linked, alive and keep jobs in flight.
 *
 * @param membership - Membership of this instance.
 * @param network - Its links.
 * @returns Their data centre and the interval of the notices by id.
 * @throws Never.
 * @example
 * const keepers = inFlightKeepersOf(membership, network);
 */
export function inFlightKeepersOf(
  membership: Pick<Membership, 'livePeers'>,
  network: Pick<PeerNetwork, 'connectedPeers'>,
): Map<InstanceId, InFlightKeeper> {
  const linked = new Set(network.connectedPeers());
  const keepers = new Map<InstanceId, InFlightKeeper>();
  for (const {instanceId, heartbeat} of membership.livePeers()) {
    const {dataCentre, inFlightIntervalMs: intervalMs, role} = heartbeat;
    const isKeeper = role === 'state' && linked.has(instanceId);
    if (isKeeper && typeof intervalMs === 'number') {
      keepers.set(instanceId, {dataCentre, intervalMs});
    }
  }
  return keepers;
}
