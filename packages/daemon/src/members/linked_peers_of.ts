import type {PeerAddress} from '@papayarun/membership';
import type {DataCentreId, InstanceId} from '@papayarun/protocol';
import type {Settings} from '@papayarun/settings';

/**
 * Lists the peers that an instance keeps a link to.
 *
 * @description These are all instances of its data centre and all replicas; a
 * replica links to all instances.
 * @param cfg - Settings of the instance.
 * @returns The peers with their addresses.
 * @throws Never.
 * @example
 * const peers = linkedPeersOf(cfg);
 */
export function linkedPeersOf(cfg: Settings): PeerAddress[] {
  const isReplica = cfg.dataDir !== undefined;
  return cfg.peers.members
    .filter(member => member.instanceId !== cfg.instanceId)
    .filter(
      member =>
        isReplica || member.replica || member.dataCentre === cfg.dataCentre,
    )
    .map(member => ({
      ...member,
      instanceId: member.instanceId as InstanceId,
      dataCentre: member.dataCentre as DataCentreId,
    }));
}
