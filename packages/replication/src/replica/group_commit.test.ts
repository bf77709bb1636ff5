import type {InstanceId, ProposeCall, ReplicaId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {
  MemoryDisk,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {Replica} from './replica.js';

const INSTANCE_IDS = ['a', 'b', 'c'] as InstanceId[];
const ELECTION_TIMEOUT_MS = 500;
const MAX_DELAY_MS = 1;
const SYNC_MS = 3;
/** Time of a synced write of a slow disk, in milliseconds. */
const SLOW_SYNC_MS = 75;
/**
 * Longest time to the commit of a change, in writes: the one in progress, one each
 * at the leader and at a follower, one that may be in progress there, and that of
 * the commit index behind another one.
 */
const MAX_WRITES = 6;

/** Change that was proposed to the leader. */
interface Change {
  readonly proposedMs: number;
  res?: ProposeCall['res'];
  tookMs?: number;
}

/** Three replicas on a virtual clock; the first one that is elected leads. */
class ReplicaGroup {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly disks: MemoryDisk[];
  readonly replicas: Replica[] = [];
  /** Commands in the order in which each replica has applied them. */
  readonly applied: number[][] = INSTANCE_IDS.map(() => []);
  private readonly random = SeededRandom.create(7);
  private readonly net = MemoryNetwork.create(
    this.clock,
    this.random,
    MAX_DELAY_MS,
  );
  private count = 0;

  private constructor() {
    this.disks = INSTANCE_IDS.map(() =>
      MemoryDisk.create(this.clock, this.random, SYNC_MS),
    );
  }

  static async create(): Promise<ReplicaGroup> {
    const group = new ReplicaGroup();
    for (let n = 0; n < INSTANCE_IDS.length; n++) {
      await group.open(n);
    }
    const voters = group.replicas.map((replica, n) => ({
      instanceId: INSTANCE_IDS[n]!,
      replicaId: replica.log.replicaId,
    }));
    group.replicas.forEach(
      replica => void replica.form({replicas: {voters, learners: []}}),
    );
    await group.clock.advance(10 * SYNC_MS);
    group.replicas.forEach(replica => replica.start());
    await group.clock.advance(5 * ELECTION_TIMEOUT_MS);
    return group;
  }

  get leader(): number {
    const n = this.replicas.findIndex(replica => replica.isLeader);
    expect(n).toBeGreaterThanOrEqual(0);
    return n;
  }

  /** Opens the disk of an instance, as at its start. */
  async open(n: number): Promise<void> {
    this.applied[n] = [];
    const opened = Replica.create({
      network: this.net.join(INSTANCE_IDS[n]!),
      clock: this.clock,
      random: this.random,
      disk: this.disks[n]!.open(),
      log: this.log,
      replicaInstances: INSTANCE_IDS,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      compactAfterEntries: 100_000,
      compactAfterBytes: Infinity,
      makeReplicaId: () => `r${++this.count}` as ReplicaId,
      apply: (_index, command) => {
        if (command.length > 0) {
          this.applied[n]!.push(Buffer.from(command).readUInt32BE());
        }
        return new Uint8Array();
      },
      restore: () => undefined,
      problemOf: () => undefined,
      serialize: () => new Uint8Array(),
      stateIndex: () => 0,
    });
    await this.clock.advance(10 * SYNC_MS);
    this.replicas[n] = await opened;
  }

  /** Proposes a change to the leader. */
  propose(value: number): Change {
    const change: Change = {proposedMs: this.clock.now()};
    const command = Buffer.alloc(4);
    command.writeUInt32BE(value);
    void this.replicas[this.leader]!.propose(command).then(res => {
      change.res = res;
      change.tookMs = this.clock.now() - change.proposedMs;
    });
    return change;
  }
}

function kindsOf(changes: readonly Change[]): Set<string | undefined> {
  return new Set(changes.map(({res}) => res?.kind));
}

describe('A stream of changes that is faster than the disks', () => {
  // Each change took two writes of its own, so that its wait grew with the stream
  // until nothing was acknowledged in time.
  it.each([
    {interval: 50, slow: 'the leader'},
    {interval: 50, slow: 'all'},
    {interval: 1, slow: 'the leader'},
    {interval: 1, slow: 'all'},
  ])(
    'waits no longer with its length, one each $interval ms, slow disks at $slow',
    async ({interval, slow}) => {
      const group = await ReplicaGroup.create();
      const leader = group.leader;
      group.disks.forEach((disk, n) => {
        if (slow === 'all' || n === leader) {
          disk.syncMs = SLOW_SYNC_MS;
        }
      });
      const changes: Change[] = [];
      for (let n = 0; n < 6_000 / interval; n++) {
        changes.push(group.propose(n));
        await group.clock.advance(interval);
      }
      await group.clock.advance(ELECTION_TIMEOUT_MS);
      expect(kindsOf(changes)).toEqual(new Set(['committed']));
      expect(
        Math.max(...changes.map(({tookMs}) => tookMs!)),
      ).toBeLessThanOrEqual(MAX_WRITES * (SLOW_SYNC_MS + 2 * MAX_DELAY_MS));
      expect(group.applied[leader]).toEqual(changes.map((_, n) => n));
      expect(group.leader).toBe(leader);
    },
  );

  it('is refused at once where it cannot be stored in time, and nothing of it is lost', async () => {
    const group = await ReplicaGroup.create();
    const {leader} = group;
    group.disks[leader]!.syncMs = SLOW_SYNC_MS;
    group.propose(20_001);
    await group.clock.advance(ELECTION_TIMEOUT_MS);
    const changes = Array.from({length: 20_000}, (_, n) => group.propose(n));
    await group.clock.advance(0);
    const refused = changes.filter(({res}) => res !== undefined);
    expect(kindsOf(refused)).toEqual(new Set(['refused']));
    await group.clock.advance(10 * ELECTION_TIMEOUT_MS);
    const others = changes.filter(change => !refused.includes(change));
    expect(others.length).toBeGreaterThan(0);
    expect(kindsOf(others)).toEqual(new Set(['committed']));
    expect(group.applied[leader]!.length).toBe(1 + others.length);
    const after = group.propose(20_000);
    await group.clock.advance(ELECTION_TIMEOUT_MS);
    expect(after.res?.kind).toBe('committed');
  });
});

describe('Changes at a leader whose disk stalls', () => {
  it('do not wait without bound', async () => {
    const group = await ReplicaGroup.create();
    const {leader} = group;
    group.disks.forEach(disk => disk.gate.close());
    group.propose(0);
    await group.clock.advance(ELECTION_TIMEOUT_MS);
    const changes = Array.from({length: 20_000}, (_, n) => group.propose(n));
    await group.clock.advance(0);
    const waiting = changes.filter(({res}) => res === undefined);
    expect(waiting.length).toBe(128);
    expect(kindsOf(changes)).toEqual(new Set([undefined, 'refused']));
    group.disks.forEach(disk => disk.gate.open());
    await group.clock.advance(ELECTION_TIMEOUT_MS);
    expect(kindsOf(waiting)).toEqual(new Set(['committed']));
    expect(group.leader).toBe(leader);
  });
});

describe('Changes of one write', () => {
  it('are not acknowledged before a majority has synced them', async () => {
    const group = await ReplicaGroup.create();
    const leader = group.leader;
    group.disks.forEach((disk, n) => n !== leader && disk.gate.close());
    const changes = [1, 2, 3].map(n => group.propose(n));
    await group.clock.advance(ELECTION_TIMEOUT_MS / 2);
    expect(kindsOf(changes)).toEqual(new Set([undefined]));
    group.disks.forEach(disk => disk.gate.open());
    await group.clock.advance(ELECTION_TIMEOUT_MS);
    expect(kindsOf(changes)).toEqual(new Set(['committed']));
  });

  it('are not acknowledged before the leader has synced their commit', async () => {
    const group = await ReplicaGroup.create();
    const leader = group.leader;
    const disk = group.disks[leader]!;
    const changes = [1, 2, 3].map(n => group.propose(n));
    // The first one is stored alone, the other two wait for its write.
    await group.clock.advance(SYNC_MS);
    disk.gate.close();
    await group.clock.advance(10 * SYNC_MS);
    expect(kindsOf(changes)).toEqual(new Set([undefined]));
    disk.gate.open();
    await group.clock.advance(ELECTION_TIMEOUT_MS);
    expect(kindsOf(changes)).toEqual(new Set(['committed']));
  });

  it('are all there after a restart from the disk', async () => {
    const group = await ReplicaGroup.create();
    group.disks.forEach(disk => (disk.syncMs = SLOW_SYNC_MS));
    const changes = Array.from({length: 300}, (_, n) => group.propose(n));
    await group.clock.advance(2 * ELECTION_TIMEOUT_MS);
    expect(kindsOf(changes)).toEqual(new Set(['committed']));
    for (let n = 0; n < INSTANCE_IDS.length; n++) {
      group.disks[n]!.crash();
      group.disks[n]!.syncMs = SYNC_MS;
      void group.replicas[n]!.stop();
      await group.open(n);
      expect(group.applied[n]).toEqual(changes.map((_, i) => i));
    }
  });
});
