import {Cluster} from '../cluster/cluster.js';
import {waitUntil} from '../wait_until/wait_until.js';
import {fitSlope} from './fit_slope.js';
import type {Slope} from './slope.js';
import {readUsage} from './usage.js';

const CLUSTER_SIZES = [3, 6, 12, 24, 48];
const SETTLE_MS = 4_000;
const MEASURE_SECONDS = 8;

/** Cost of membership for one instance over the number of its live peers. */
export interface MembershipSlopes {
  readonly cpuPartOfCore: Slope;
  readonly messagesPerSecond: Slope;
  readonly bytesPerSecond: Slope;
  readonly rssBytes: Slope;
}

/**
 * Measures idle instances of one data centre, each linked to all others.
 *
 * @returns Slopes over the number of peers.
 * @throws Error when the instances can't be started.
 * @example
 * const slopes = await membershipSlopes();
 */
export async function membershipSlopes(): Promise<MembershipSlopes> {
  const rows: Array<{
    x: number;
    cpu: number;
    messages: number;
    bytes: number;
    rss: number;
  }> = [];
  for (const size of CLUSTER_SIZES) {
    rows.push(await measureCluster(size));
    process.stdout.write(
      `  membership of ${size}: ${JSON.stringify(rows.at(-1))}\n`,
    );
  }
  const slopeOf = (y: 'cpu' | 'messages' | 'bytes' | 'rss'): Slope =>
    fitSlope(rows.map(row => ({x: row.x, y: row[y]})));
  return {
    cpuPartOfCore: slopeOf('cpu'),
    messagesPerSecond: slopeOf('messages'),
    bytesPerSecond: slopeOf('bytes'),
    rssBytes: slopeOf('rss'),
  };
}

async function measureCluster(size: number): Promise<{
  x: number;
  cpu: number;
  messages: number;
  bytes: number;
  rss: number;
}> {
  const members = Array.from({length: size}, (_, n) => ({
    id: `centro-${String(n + 1).padStart(2, '0')}`,
    dataCentre: 'centro',
    replica: n < 3,
  }));
  const cluster = await Cluster.create(members, {log: {decisions: false}});
  try {
    await Promise.all(members.map(member => cluster.start(member.id)));
    await waitUntil('the release log is formed', 30_000, async () => {
      return (
        (await cluster.callOperatorApi(members[0]!.id, 'POST', '/v1/cluster'))
          .status === 200
      );
    });
    await waitUntil(
      'each instance is linked to all others',
      60_000,
      async () => {
        const statuses = await Promise.all(
          members.map(member => cluster.fetchStatus(member.id)),
        );
        return statuses.every(
          s =>
            (s['linked'] as string[]).length === size - 1 &&
            s['seat'] === 'synced',
        );
      },
    );
    await sleep(SETTLE_MS);
    const ids = members.map(member => member.id);
    const before = await readUsage(cluster, ids);
    await sleep(MEASURE_SECONDS * 1_000);
    const after = await readUsage(cluster, ids);
    const perInstanceSecond = (
      key: 'cpuSeconds' | 'peerMessages' | 'peerBytes',
    ): number => (after[key] - before[key]) / size / MEASURE_SECONDS;
    return {
      x: size - 1,
      cpu: perInstanceSecond('cpuSeconds'),
      messages: perInstanceSecond('peerMessages'),
      bytes: perInstanceSecond('peerBytes'),
      rss: after.rssBytes / size,
    };
  } finally {
    await cluster.close();
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
