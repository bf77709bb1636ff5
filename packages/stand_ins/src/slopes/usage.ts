import type {Cluster} from '../cluster/cluster.js';
import {metricSum} from '../metric_sum/metric_sum.js';

/**
 * Resources used by a set of instances, summed over them.
 *
 * @description Processor time, messages and bytes are totals since the start of
 * each instance; memory is the present value.
 */
export interface Usage {
  readonly cpuSeconds: number;
  readonly peerMessages: number;
  readonly peerBytes: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

const METRIC_NAMES: Readonly<Record<keyof Usage, string>> = {
  cpuSeconds: 'process_cpu_seconds_total',
  peerMessages: 'papayarun_peer_messages_total',
  peerBytes: 'papayarun_peer_bytes_total',
  rssBytes: 'process_resident_memory_bytes',
  heapBytes: 'nodejs_heap_size_used_bytes',
};

/**
 * Reads the usage of instances from their metrics.
 *
 * @param cluster - The instances.
 * @param ids - Ids of the instances to read.
 * @returns Usage summed over these instances.
 * @throws Error when an instance doesn't answer.
 * @example
 * const before = await readUsage(cluster, ['centro-1']);
 */
export async function readUsage(
  cluster: Cluster,
  ids: readonly string[],
): Promise<Usage> {
  const responses = await Promise.all(
    ids.map(id => cluster.callOperatorApi(id, 'GET', '/metrics')),
  );
  const sumOf = (name: string): number =>
    responses.reduce((sum, res) => sum + metricSum(res.text, name), 0);
  return Object.fromEntries(
    Object.entries(METRIC_NAMES).map(([key, name]) => [key, sumOf(name)]),
  ) as unknown as Usage;
}
