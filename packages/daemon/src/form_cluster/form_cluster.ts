import type {
  InstanceId,
  PeerNetwork,
  ReplicaRef,
  ReplicaSet,
  ReplicaStatusCall,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {Replica} from '@papayarun/replication';

const TIMEOUT_MS = 3_000;

interface Sighted {
  readonly instanceId: InstanceId;
  readonly status: ReplicaStatusCall['res'];
}

/**
 * Forms the release log over the blank disks of all replicas.
 *
 * @description Done once, by an operator. Every replica must answer, and no
 * instance may hold a release, so that lost disks are never taken for new
 * ones. Sent again after a lost answer it changes nothing.
 * @param network - Links to the other instances.
 * @param replica - Own replica, if this instance has one.
 * @param replicaInstances - Instances that have a disk.
 * @param otherInstances - All other instances, to ask whether they hold state.
 * @returns The members.
 * @throws DispatchError with `notRun` when a replica is missing or not blank.
 * @example
 * await formCluster(network, replica, ['centro-1', 'serra-1'], []);
 */
export async function formCluster(
  network: PeerNetwork,
  replica: Replica | undefined,
  replicaInstances: readonly InstanceId[],
  otherInstances: readonly InstanceId[],
): Promise<ReplicaSet> {
  const sighted = await Promise.all(
    replicaInstances.map(async (instanceId): Promise<Sighted> => {
      const status =
        instanceId === network.self
          ? replica!.status()
          : await askStatus(network, instanceId);
      return {instanceId, status};
    }),
  );
  const formed = sighted.find(s => !s.status.blank);
  if (!formed) {
    await assertNoState(network, otherInstances);
  }
  const replicas: ReplicaSet = formed?.status.replicas ?? {
    voters: sighted.map(refOf),
    learners: [],
  };
  for (const {instanceId, status} of sighted) {
    if (status.blank) {
      await formAt(network, replica, instanceId, replicas);
    }
  }
  return replicas;
}

async function askStatus(
  network: PeerNetwork,
  instanceId: InstanceId,
): Promise<ReplicaStatusCall['res']> {
  try {
    return await network.call(
      instanceId,
      'replicaStatus',
      {},
      {timeoutMs: TIMEOUT_MS},
    );
  } catch (err) {
    throw DispatchError.notRun(
      'noQuorum',
      `replica ${instanceId} does not answer`,
      {
        cause: err as Error,
      },
    );
  }
}

async function assertNoState(
  network: PeerNetwork,
  instances: readonly InstanceId[],
): Promise<void> {
  for (const instanceId of instances) {
    const status = await askStatus(network, instanceId);
    if (status.stateIndex > 0) {
      throw DispatchError.notRun(
        'conflict',
        `${instanceId} holds releases of an earlier log; all replicas have lost their disks`,
      );
    }
  }
}

async function formAt(
  network: PeerNetwork,
  replica: Replica | undefined,
  instanceId: InstanceId,
  replicas: ReplicaSet,
): Promise<void> {
  const res =
    instanceId === network.self
      ? await replica!.form({replicas})
      : await network.call(
          instanceId,
          'form',
          {replicas},
          {timeoutMs: TIMEOUT_MS},
        );
  if (!res.ok) {
    throw DispatchError.mayHaveRun('conflict', `${instanceId}: ${res.reason}`);
  }
}

function refOf({instanceId, status}: Sighted): ReplicaRef {
  if (!status.replicaId) {
    throw DispatchError.notRun('conflict', `${instanceId} has no data folder`);
  }
  return {instanceId, replicaId: status.replicaId};
}
