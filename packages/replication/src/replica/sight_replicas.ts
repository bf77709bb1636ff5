import type {InstanceId} from '@papayarun/protocol';
import type {ReplicaSighting} from '../next_replica_set/replica_sighting.js';
import type {ReplicaOptions} from './replica_options.js';

/**
 * Asks the other instances with disks which replica they have.
 *
 * @param opts - Network and names.
 * @returns What those say that answer in time.
 * @throws Never.
 * @example
 * const seen = await sightReplicas(opts);
 */
export async function sightReplicas(
  opts: ReplicaOptions,
): Promise<ReplicaSighting[]> {
  const others = opts.replicaInstances.filter(id => id !== opts.network.self);
  const seen = await Promise.all(others.map(id => sight(opts, id)));
  return seen.filter(sighting => sighting !== undefined);
}

async function sight(
  opts: ReplicaOptions,
  instanceId: InstanceId,
): Promise<ReplicaSighting | undefined> {
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
