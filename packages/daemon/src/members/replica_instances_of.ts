import type {InstanceId} from '@papayarun/protocol';
import type {Settings} from '@papayarun/settings';

/**
 * Lists the instances that hold a replica of the release log.
 *
 * @param cfg - Settings of any instance.
 * @returns Ids of the instances.
 * @throws Never.
 * @example
 * const replicas = replicaInstancesOf(cfg);
 */
export function replicaInstancesOf(cfg: Settings): InstanceId[] {
  return cfg.peers.members
    .filter(member => member.replica)
    .map(member => member.instanceId as InstanceId);
}
