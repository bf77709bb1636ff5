import type {Membership} from '@papayarun/membership';
import type {InstanceId, PeerNetwork} from '@papayarun/protocol';

/**
 * State instances that are linked, alive and register jobs.
 *
 * @param membership - Membership of this instance.
 * @param network - Its links.
 * @returns Their ids.
 * @throws Never.
 * @example
 * const registrars = jobRegistrarsOf(membership, network);
 */
export function jobRegistrarsOf(
  membership: Pick<Membership, 'livePeers'>,
  network: Pick<PeerNetwork, 'connectedPeers'>,
): InstanceId[] {
  const linked = new Set(network.connectedPeers());
  return membership
    .livePeers()
    .filter(
      ({instanceId, heartbeat}) =>
        heartbeat.registersJobs === true && linked.has(instanceId),
    )
    .map(({instanceId}) => instanceId);
}
