import type {InstanceId, ReplicaId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {ControlStore} from '@papayarun/releases';
import {Replica} from '@papayarun/replication';
import {
  MemoryDisk,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {describe, expect, it, vi} from 'vitest';
import type {ProposalResult} from './control_client.js';
import {ControlClient} from './control_client.js';

const ELECTION_TIMEOUT_MS = 500;
const LEADER_TIMEOUT_MS = 2_000;
/** Entries after which a log is compacted within a few seconds of the stream. */
const COMPACT_SOON = 20;
const COMPACT_LATE = 512;
const SYNC_MS = 9;
const MAX_DELAY_MS = 4;
const SMALL_BYTES = 300;
const LARGE_BYTES = 256 * 1024;
/** Less than the changes of `LARGE_BYTES` that one full disk misses. */
const MAX_FRAME_BYTES = 2 * 1024 * 1024;
/** Time between two changes of the stream. */
const CHANGE_INTERVAL_MS = 150;
/** Time for which each disk is full. */
const FULL_MS = 3_000;
/** Time in which a change has to be acknowledged. */
const ACKNOWLEDGE_MS = 4_000;
/** Time after which a log whose disks have room counts as undisturbed. */
const CALM_AFTER_MS = 3_000;

/** How a disk is full. */
type Fullness = 'refusesAll' | 'refusesTruncation' | 'nearlyFull';

interface Node {
  readonly name: InstanceId;
  readonly disk: MemoryDisk;
  readonly replica: Replica;
  readonly client: ControlClient;
  /** How the proposals of the client ended, in order. */
  readonly results: ProposalResult[];
}

/** Replicas with a control client each, under a stream of changes. */
class ControlCluster {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly nodes: Node[] = [];
  private readonly random;
  private readonly net;
  private revision = 0;

  constructor(
    seed: number,
    /** Size of the text in each configuration, in bytes. */
    private readonly textBytes: number,
    private readonly compactAfterEntries: number,
  ) {
    this.random = SeededRandom.create(seed);
    this.net = MemoryNetwork.create(this.clock, this.random, MAX_DELAY_MS);
    this.net.maxFrameBytes = MAX_FRAME_BYTES;
  }

  async form(size: number): Promise<void> {
    const names = Array.from({length: size}, (_, n) => `n${n}` as InstanceId);
    for (const name of names) {
      const opened = this.open(name, names);
      await this.clock.advance(10 * SYNC_MS);
      this.nodes.push(await opened);
    }
    const voters = this.nodes.map(({name, replica}) => ({
      instanceId: name,
      replicaId: replica.log.replicaId,
    }));
    for (const {replica} of this.nodes) {
      void replica.form({replicas: {voters, learners: []}});
    }
    await this.clock.advance(10 * SYNC_MS);
    this.nodes.forEach(({replica}) => replica.start());
    await this.clock.advance(5 * ELECTION_TIMEOUT_MS);
  }

  private async open(name: InstanceId, names: InstanceId[]): Promise<Node> {
    const store = ControlStore.create();
    const disk = MemoryDisk.create(this.clock, this.random, SYNC_MS);
    const network = this.net.join(name);
    const {clock} = this;
    const replica = await Replica.create({
      network,
      clock,
      random: this.random,
      disk: disk.open(),
      log: this.log,
      replicaInstances: names,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      compactAfterEntries: this.compactAfterEntries,
      compactAfterBytes: Infinity,
      makeReplicaId: () => `${name}r` as ReplicaId,
      apply: (index, command) => store.apply(index, command),
      restore: (index, state) => store.restore(index, state),
      problemOf: command => store.problemOf(command),
      serialize: () => store.serialize(),
      stateIndex: () => store.index,
    });
    const results: ProposalResult[] = [];
    const client = ControlClient.create({
      network,
      clock,
      store,
      replica,
      replicaInstances: names,
      leaderTimeoutMs: LEADER_TIMEOUT_MS,
      onProposalEnd: result => results.push(result),
    });
    return {name, disk, replica, client, results};
  }

  leader(): Node | undefined {
    return this.nodes
      .filter(node => node.replica.isLeader)
      .sort((a, b) => b.replica.log.term - a.replica.log.term)[0];
  }

  /** Sends a change to a node; resolves to whether it was acknowledged. */
  async change(node: Node): Promise<boolean> {
    const revision = ++this.revision;
    try {
      await node.client.propose({
        kind: 'applyConfiguration',
        revision,
        content: {text: 'x'.repeat(this.textBytes)},
      });
    } catch {
      return false;
    }
    return true;
  }

  /** Makes the state large; the changes that follow have a lower revision. */
  async applyLargeConfiguration(): Promise<void> {
    void this.nodes[0]!.client.propose({
      kind: 'applyConfiguration',
      revision: Number.MAX_SAFE_INTEGER,
      content: {text: 'x'.repeat(LARGE_BYTES)},
    });
    await this.clock.advance(ACKNOWLEDGE_MS);
  }

  /** Sends changes to the nodes in turn. */
  async stream(ms: number): Promise<void> {
    const endMs = this.clock.now() + ms;
    while (this.clock.now() < endMs) {
      void this.change(this.nodes[this.revision % this.nodes.length]!);
      await this.clock.advance(CHANGE_INTERVAL_MS);
    }
  }

  fill({disk}: Node, fullness: Fullness): void {
    switch (fullness) {
      case 'refusesAll':
      case 'refusesTruncation':
        disk.failure = new Error('ENOSPC');
        disk.refusesTruncation = fullness === 'refusesTruncation';
        return;
      case 'nearlyFull':
        disk.capacityBytes =
          disk.usedBytes + Math.floor(this.random.next() * 1_000);
        return;
      default:
        fullness satisfies never;
    }
  }

  makeRoom({disk}: Node): void {
    disk.failure = undefined;
    disk.refusesTruncation = false;
    disk.capacityBytes = Infinity;
  }

  /** Makes each disk full once, one after another, under a stream of changes. */
  async fillInTurn(
    fullness: Fullness,
    {leadersFirst, pauseMs}: {leadersFirst: boolean; pauseMs: number},
  ): Promise<void> {
    const left = new Set(this.nodes);
    while (left.size > 0) {
      const leader = this.leader();
      const [first] = left;
      const node = leadersFirst && leader && left.has(leader) ? leader : first!;
      left.delete(node);
      this.fill(node, fullness);
      await this.stream(FULL_MS);
      this.makeRoom(node);
      await this.stream(pauseMs);
    }
    await this.stream(CALM_AFTER_MS);
  }

  /** Checks that each node gets a change acknowledged in time, at the first try. */
  async expectAcknowledgedByAll(): Promise<void> {
    for (const node of this.nodes) {
      let isAcknowledged = false;
      void this.change(node).then(res => {
        isAcknowledged = res;
      });
      await this.clock.advance(ACKNOWLEDGE_MS);
      expect(isAcknowledged, `change sent to ${node.name}`).toBe(true);
    }
  }
}

describe('ControlClient', () => {
  for (const size of [3, 5]) {
    for (const fullness of [
      'refusesAll',
      'refusesTruncation',
      'nearlyFull',
    ] as const) {
      it(`acknowledges changes at each of ${size} replicas after their disks were full in turn (${fullness})`, async () => {
        for (let seed = 1; seed < 9; seed++) {
          const cluster = new ControlCluster(seed, SMALL_BYTES, COMPACT_SOON);
          await cluster.form(size);
          await cluster.stream(1_000);
          await cluster.fillInTurn(fullness, {
            leadersFirst: seed % 2 === 0,
            pauseMs: seed % 4 < 2 ? 0 : 1_500,
          });
          await cluster.expectAcknowledgedByAll();
        }
      });
    }
  }

  // What a replica had missed was sent in one frame, too large for the link, so the
  // replica stayed out and the next loss left no majority.
  it('acknowledges large changes while one disk is full, after another one was', async () => {
    for (let seed = 11; seed < 13; seed++) {
      const cluster = new ControlCluster(seed, LARGE_BYTES, COMPACT_LATE);
      await cluster.form(3);
      const [first, second] = cluster.nodes.filter(
        node => node !== cluster.leader(),
      );
      cluster.fill(first!, 'refusesAll');
      await cluster.stream(FULL_MS);
      cluster.makeRoom(first!);
      await cluster.clock.advance(CALM_AFTER_MS);
      cluster.fill(second!, 'refusesAll');
      await cluster.expectAcknowledgedByAll();
    }
  });

  // A leader whose own proposals all failed could be seen in its log alone.
  it('tells how each proposal ended', async () => {
    const cluster = new ControlCluster(31, SMALL_BYTES, COMPACT_LATE);
    await cluster.form(3);
    const leader = cluster.leader()!;
    await cluster.expectAcknowledgedByAll();
    expect(leader.results).toEqual(['committed']);
    const propose = vi.spyOn(leader.replica, 'propose');
    propose.mockRejectedValueOnce(new TypeError('no replica'));
    propose.mockResolvedValueOnce({kind: 'unknown', reason: 'in time'});
    for (let n = 0; n < 2; n++) {
      void cluster.change(leader);
      await cluster.clock.advance(ACKNOWLEDGE_MS);
    }
    propose.mockResolvedValue({kind: 'notLeader'});
    void cluster.change(leader);
    await cluster.clock.advance(ACKNOWLEDGE_MS);
    expect(leader.results).toEqual([
      'committed',
      'error',
      'mayHaveRun',
      'notRun',
    ]);
  });

  // A compaction that the disk had no room for ended the leadership, after each change.
  it('does not send a command again that the leader has no time for', async () => {
    const clock = VirtualClock.create();
    const net = MemoryNetwork.create(clock, SeededRandom.create(1), 1);
    const replicaInstances = ['a', 'b', 'c'] as InstanceId[];
    let calls = 0;
    for (const id of replicaInstances) {
      net.join(id).onCall('propose', () => {
        calls++;
        return Promise.resolve({kind: 'refused', reason: 'too many'});
      });
    }
    const client = ControlClient.create({
      network: net.join('d' as InstanceId),
      clock,
      store: ControlStore.create(),
      replica: undefined,
      replicaInstances,
      leaderTimeoutMs: LEADER_TIMEOUT_MS,
    });
    const proposed = client
      .propose({kind: 'applyConfiguration', revision: 1, content: {}})
      .catch((err: unknown) => err);
    await clock.advance(10);
    expect(await proposed).toMatchObject({
      refusal: {code: 'queueFull', verdict: {kind: 'notRun'}},
    });
    expect(calls).toBe(1);
  });

  it('keeps its leader while the disks have room for changes but not for a compaction', async () => {
    for (let seed = 21; seed < 25; seed++) {
      const cluster = new ControlCluster(seed, SMALL_BYTES, COMPACT_SOON);
      await cluster.form(3);
      await cluster.applyLargeConfiguration();
      const leader = cluster.leader()!;
      for (const {disk} of cluster.nodes) {
        disk.capacityBytes = disk.usedBytes + LARGE_BYTES / 2;
      }
      await cluster.stream(2 * COMPACT_SOON * CHANGE_INTERVAL_MS);
      expect(cluster.leader()).toBe(leader);
      expect(cluster.log.count('compactionFailed')).toBeGreaterThan(0);
      cluster.nodes.forEach(node => cluster.makeRoom(node));
      await cluster.stream(CALM_AFTER_MS);
      expect(cluster.log.count('logCompacted')).toBe(3);
      await cluster.expectAcknowledgedByAll();
    }
  });
});
