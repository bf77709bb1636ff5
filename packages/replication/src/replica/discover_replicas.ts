import type {InstanceId} from '@papayarun/protocol';
import type {DiscoveredReplica} from '../next_replica_set/discovered_replica.js';
import type {ReplicaOptions} from './replica_options.js';

/**
 * Asks the other instances that have a disk for their replica.
 *
 * @param opts - Network, instances and timeout.
 * @returns Replicas of the instances that respond within half the election
 * timeout.
 * @throws Never.
 * @example
 * const replicas = await discoverReplicas(opts);
 */
export async function discoverReplicas(
  opts: ReplicaOptions,
): Promise<DiscoveredReplica[]> {
  const others = opts.replicaInstances.filter(id => id !== opts.network.self);
  const discovered = await Promise.all(
    others.map(id => queryReplica(opts, id)),
  );
  return discovered.filter(replica => replica !== undefined);
}

async function queryReplica(
  opts: ReplicaOptions,
  instanceId: InstanceId,
): Promise<DiscoveredReplica | undefined> {
  const timeoutMs = opts.electionTimeoutMs / 2;
  try {
    const res = await opts.network.call(
      instanceId,
      'replicaStatus',
      {},
      {timeoutMs},
    );
    const {replicaId, blank, voter} = res;
    return replicaId && {instanceId, replicaId, joinable: blank || !voter};
  } catch {
    return undefined;
  }
}
