import type {
  AppendCall,
  InstanceId,
  LogEntry,
  ReplicaId,
  VoteCall,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {
  MemoryDisk,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {Replica} from './replica.js';

const A = 'a' as InstanceId;
const B = 'b' as InstanceId;
const C = 'c' as InstanceId;
const ELECTION_MS = 100;

/** One real replica; the test itself plays the other two. */
class Bench {
  readonly clock = VirtualClock.create();
  readonly applied: number[] = [];
  readonly b: MemoryNetworkEnd;
  readonly c: MemoryNetworkEnd;
  replica!: Replica;
  private readonly random = SeededRandom.create(31);
  private readonly net = MemoryNetwork.create(this.clock, this.random, 1);
  private readonly disk = MemoryDisk.create(this.clock, this.random, 2);
  private made = 0;

  constructor() {
    this.b = this.net.join(B);
    this.c = this.net.join(C);
  }

  async open(): Promise<void> {
    const opened = Replica.create({
      network: this.net.join(A),
      clock: this.clock,
      random: this.random,
      disk: this.disk.open(),
      log: SilentLog.create(),
      replicaInstances: [A, B, C],
      electionTimeoutMs: ELECTION_MS,
      compactAfter: 1_000,
      makeReplicaId: () => `a${++this.made}` as ReplicaId,
      apply: index => {
        this.applied.push(index);
        return new Uint8Array();
      },
      restore: () => undefined,
      serialize: () => new Uint8Array(),
      stateIndex: () => this.applied.at(-1) ?? 0,
    });
    await this.clock.advance(10);
    this.replica = await opened;
  }

  async form(): Promise<void> {
    const voters = [
      {instanceId: A, replicaId: 'a1' as ReplicaId},
      {instanceId: B, replicaId: 'b1' as ReplicaId},
      {instanceId: C, replicaId: 'c1' as ReplicaId},
    ];
    const formed = this.replica.form({replicas: {voters, learners: []}});
    await this.clock.advance(10);
    await formed;
  }

  async crashAndReopen(loseDisk: boolean): Promise<void> {
    this.net.leave(A);
    if (loseDisk) {
      this.disk.lose();
    } else {
      this.disk.crash();
    }
    await this.open();
  }

  async vote(from: MemoryNetworkEnd, req: VoteCall['req']): Promise<boolean> {
    const asked = from.call(A, 'vote', req, {timeoutMs: 50});
    await this.clock.advance(60);
    return (await asked).granted;
  }

  async append(
    from: MemoryNetworkEnd,
    req: AppendCall['req'],
  ): Promise<AppendCall['res']> {
    const asked = from.call(A, 'append', req, {timeoutMs: 50});
    await this.clock.advance(60);
    return asked;
  }
}

function ballot(candidate: string, term: number, to = 'a1'): VoteCall['req'] {
  return {
    to: to as ReplicaId,
    candidate: candidate as ReplicaId,
    pre: false,
    term,
    lastIndex: 1,
    lastTerm: 0,
  };
}

describe('Replica', () => {
  it('votes once in a term, also when it crashes between two requests', async () => {
    const bench = new Bench();
    await bench.open();
    await bench.form();
    expect(await bench.vote(bench.b, ballot('b1', 5))).toBe(true);
    expect(await bench.vote(bench.c, ballot('c1', 5))).toBe(false);
    await bench.crashAndReopen(false);
    expect(await bench.vote(bench.c, ballot('c1', 5))).toBe(false);
    expect(await bench.vote(bench.b, ballot('b1', 5))).toBe(true);
  });

  it('never votes in the name of a disk that was lost', async () => {
    const bench = new Bench();
    await bench.open();
    await bench.form();
    await bench.crashAndReopen(true);
    expect(await bench.vote(bench.b, ballot('b1', 5))).toBe(false);
    expect(bench.replica.status().replicaId).toBe('a2');
  });

  it('does not vote for a candidate whose log is shorter', async () => {
    const bench = new Bench();
    await bench.open();
    await bench.form();
    expect(await bench.vote(bench.b, {...ballot('b1', 5), lastIndex: 0})).toBe(
      false,
    );
  });

  it('does not commit an entry of an earlier term by counting replicas', async () => {
    const bench = new Bench();
    await bench.open();
    await bench.form();
    const old: LogEntry = {
      kind: 'command',
      index: 2,
      term: 1,
      command: new Uint8Array([7]),
    };
    const res = await bench.append(bench.b, {
      to: 'a1' as ReplicaId,
      leader: 'b1' as ReplicaId,
      term: 1,
      prevIndex: 1,
      prevTerm: 0,
      entries: [old],
      commitIndex: 0,
    });
    expect(res).toMatchObject({ok: true, matchIndex: 2});
    bench.c.onCall('vote', () => Promise.resolve({term: 1, granted: true}));
    bench.c.onCall('append', (_from, req) =>
      Promise.resolve({term: req.term, ok: true, matchIndex: 2}),
    );
    bench.replica.start();
    await bench.clock.advance(3 * ELECTION_MS);
    expect(bench.replica.isLeader).toBe(true);
    expect(bench.applied).toEqual([]);
    bench.c.onCall('append', (_from, req) =>
      Promise.resolve({
        term: req.term,
        ok: true,
        matchIndex: req.prevIndex + req.entries.length,
      }),
    );
    await bench.clock.advance(ELECTION_MS);
    expect(bench.applied).toEqual([1, 2, 3]);
  });

  it('refuses entries of a leader whose term has passed', async () => {
    const bench = new Bench();
    await bench.open();
    await bench.form();
    expect(await bench.vote(bench.c, ballot('c1', 9))).toBe(true);
    const res = await bench.append(bench.b, {
      to: 'a1' as ReplicaId,
      leader: 'b1' as ReplicaId,
      term: 8,
      prevIndex: 1,
      prevTerm: 0,
      entries: [],
      commitIndex: 1,
    });
    expect(res).toMatchObject({ok: false, term: 9});
    expect(bench.applied).toEqual([]);
  });
});
