import type {
  InstanceId,
  PeerNetwork,
  ReplicaRef,
  ReplicaSet,
  ReplicaStatusCall,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {Replica} from '@papayarun/replication';

/** Timeout of each call to another instance, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;

/** Status that the replica of an instance reports. */
interface ReplicaReport {
  readonly instanceId: InstanceId;
  readonly status: ReplicaStatusCall['res'];
}

/**
 * Initializes the release log on the blank disks of all replicas.
 *
 * @description An operator requests this once for each cluster. Every replica
 * must answer. If all replicas are blank, no other instance may hold a release:
 * otherwise replicas that lost their disks would be taken for new ones. The
 * operation is idempotent, so it can be repeated after a lost response.
 * @param network - Network to the other instances.
 * @param replica - Replica of this instance, if it has one.
 * @param replicaInstances - Instances that have a replica.
 * @param otherInstances - All other instances; they are checked for existing
 *   release state.
 * @returns Voters and learners of the release log.
 * @throws DispatchError with `notRun` when an instance doesn't answer, an
 *   instance without a replica holds release state or a replica has no data
 *   directory; with `mayHaveRun` when a replica refuses to be formed.
 * @example
 * await formCluster(network, replica, ['centro-1', 'serra-1'], []);
 */
export async function formCluster(
  network: PeerNetwork,
  replica: Replica | undefined,
  replicaInstances: readonly InstanceId[],
  otherInstances: readonly InstanceId[],
): Promise<ReplicaSet> {
  const reports = await Promise.all(
    replicaInstances.map(async (instanceId): Promise<ReplicaReport> => {
      const status =
        instanceId === network.self
          ? replica!.status()
          : await fetchStatus(network, instanceId);
      return {instanceId, status};
    }),
  );
  const formedReport = reports.find(report => !report.status.blank);
  if (!formedReport) {
    await assertNoState(network, otherInstances);
  }
  const replicas: ReplicaSet = formedReport?.status.replicas ?? {
    voters: reports.map(toReplicaRef),
    learners: [],
  };
  for (const report of reports) {
    const {instanceId, status} = report;
    // A replica that has lost its disk since the others were formed joins later.
    const isMember = replicas.voters.some(
      ref => ref.replicaId === toReplicaRef(report).replicaId,
    );
    if (status.blank && isMember) {
      await formReplica(network, replica, instanceId, replicas);
    }
  }
  return replicas;
}

async function fetchStatus(
  network: PeerNetwork,
  instanceId: InstanceId,
): Promise<ReplicaStatusCall['res']> {
  try {
    return await network.call(
      instanceId,
      'replicaStatus',
      {},
      {timeoutMs: CALL_TIMEOUT_MS},
    );
  } catch (err) {
    throw DispatchError.notRun(
      'noQuorum',
      `instance ${instanceId} did not answer the replica status call`,
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
    const status = await fetchStatus(network, instanceId);
    if (status.stateIndex > 0) {
      throw DispatchError.notRun(
        'conflict',
        `instance ${instanceId} holds releases of an existing release log, but all replicas are blank: they have lost their disks`,
      );
    }
  }
}

async function formReplica(
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
          {timeoutMs: CALL_TIMEOUT_MS},
        );
  if (!res.ok) {
    throw DispatchError.mayHaveRun(
      'conflict',
      `instance ${instanceId} refused to form its replica: ${res.reason}`,
    );
  }
}

function toReplicaRef({instanceId, status}: ReplicaReport): ReplicaRef {
  if (!status.replicaId) {
    throw DispatchError.notRun(
      'conflict',
      `instance ${instanceId} has no replica: its settings name no dataDir`,
    );
  }
  return {instanceId, replicaId: status.replicaId};
}
