import type {InstanceId, ReplicaId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {
  MemoryDisk,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Replica} from './replica.js';

const NAMES = ['a', 'b', 'c'] as InstanceId[];
const ELECTION_MS = 100;
const SYNC_MS = 3;
const MAX_DELAY_MS = 4;
const COMPACT_AFTER = 20;
/** More runs and other seeds for a long search apart from CI. */
const RUNS = Number(process.env['PAPAYARUN_RUNS'] ?? 120);
const SEED = Number(process.env['PAPAYARUN_SEED'] ?? 20);

interface Node {
  readonly name: InstanceId;
  readonly disk: MemoryDisk;
  replica: Replica | undefined;
  /** Commands by index, as applied since the disk was new. */
  applied: Map<number, string>;
  /** Highest index ever applied on this disk. */
  served: number;
  starting: boolean;
}

/** Replicas over a virtual clock, network and disks, checked at every apply. */
class Bench {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly nodes: Node[];
  readonly history = new Map<number, string>();
  readonly accepted: string[] = [];
  private readonly random;
  private readonly net;
  private made = 0;

  constructor(seed: number) {
    this.random = SeededRandom.create(seed);
    this.net = MemoryNetwork.create(this.clock, this.random, MAX_DELAY_MS);
    this.nodes = NAMES.map(name => ({
      name,
      disk: MemoryDisk.create(this.clock, this.random, SYNC_MS),
      replica: undefined,
      applied: new Map<number, string>(),
      served: 0,
      starting: false,
    }));
  }

  async form(): Promise<void> {
    for (const node of this.nodes) {
      await this.start(node);
    }
    const voters = this.nodes.map(node => ({
      instanceId: node.name,
      replicaId: node.replica!.log.replicaId,
    }));
    const formed = this.nodes.map(n =>
      n.replica!.form({replicas: {voters, learners: []}}),
    );
    await this.clock.advance(50);
    expect((await Promise.all(formed)).every(res => res.ok)).toBe(true);
  }

  async start(node: Node): Promise<void> {
    if (node.replica || node.starting) {
      return;
    }
    node.starting = true;
    node.applied = new Map();
    const opened = this.open(node);
    // Handled below; a full disk fails it before then.
    opened.catch(() => undefined);
    await this.clock.advance(4 * SYNC_MS);
    node.starting = false;
    const replica = await opened.catch((err: Error) => {
      expect(node.disk.failure).toBe(err);
      return undefined;
    });
    if (!replica) {
      this.net.leave(node.name);
      return;
    }
    node.replica = replica;
    expect(Math.max(0, ...node.applied.keys())).toBeGreaterThanOrEqual(
      node.served,
    );
    replica.start();
  }

  private open(node: Node): Promise<Replica> {
    return Replica.create({
      network: this.net.join(node.name),
      clock: this.clock,
      random: this.random,
      disk: node.disk.open(),
      log: this.log,
      replicaInstances: NAMES,
      electionTimeoutMs: ELECTION_MS,
      compactAfter: COMPACT_AFTER,
      makeReplicaId: () => `${node.name}${++this.made}` as ReplicaId,
      apply: (index, command) =>
        this.apply(node, index, Buffer.from(command).toString('utf8')),
      restore: (index, state) => this.restore(node, index, state),
      serialize: () => Buffer.from(JSON.stringify([...node.applied])),
      stateIndex: () => Math.max(0, ...node.applied.keys()),
    });
  }

  async crash(node: Node): Promise<void> {
    if (node.replica) {
      this.net.leave(node.name);
      node.disk.crash();
      void node.replica.stop();
      node.replica = undefined;
      await this.clock.advance(1);
    }
  }

  /** Loses a disk, when the others surely hold all that was accepted. */
  async loseDisk(node: Node): Promise<boolean> {
    const leader = this.leader();
    if (!leader || leader === node) {
      return false;
    }
    const {log} = leader.replica!;
    const {voters, learners} = log.replicas;
    const isWhole =
      learners.length === 0 &&
      voters.length === NAMES.length &&
      log.commitIndex === log.lastIndex &&
      this.nodes.every(
        n =>
          n.replica?.log.commitIndex === log.commitIndex &&
          !n.replica.log.isBlank,
      );
    const isCurrent = this.nodes.every(n =>
      voters.some(ref => ref.replicaId === n.replica?.log.replicaId),
    );
    if (!isWhole || !isCurrent) {
      return false;
    }
    await this.crash(node);
    node.disk.lose();
    node.served = 0;
    return true;
  }

  propose(node: Node, text: string): void {
    void node.replica?.propose(Buffer.from(text)).then(res => {
      if (res.kind === 'committed') {
        this.accepted.push(text);
      }
    });
  }

  cut(node: Node, isCut: boolean): void {
    for (const other of this.nodes) {
      if (other !== node) {
        this.net.setCut(node.name, other.name, isCut);
        this.net.setCut(other.name, node.name, isCut);
      }
    }
  }

  cutOneWay(from: Node, to: Node): void {
    this.net.setCut(from.name, to.name, true);
  }

  heal(): void {
    this.net.heal();
  }

  leader(): Node | undefined {
    const leaders = this.nodes.filter(node => node.replica?.isLeader);
    return leaders.sort((a, b) => b.replica!.log.term - a.replica!.log.term)[0];
  }

  /** Heals all, then checks that all hold the same and nothing accepted is lost. */
  async conclude(): Promise<void> {
    this.heal();
    for (const node of this.nodes) {
      node.disk.failure = undefined;
      await this.start(node);
    }
    await this.clock.advance(40 * ELECTION_MS);
    const last = 'last';
    this.propose(this.leader()!, last);
    await this.clock.advance(10 * ELECTION_MS);
    expect(this.accepted).toContain(last);
    for (const node of this.nodes) {
      const texts = [...node.applied.values()].filter(text => text !== '');
      for (const text of this.accepted) {
        expect(
          texts.filter(t => t === text),
          `${text} on ${node.name}`,
        ).toEqual([text]);
      }
      expect(node.applied.get(Math.max(...node.applied.keys()))).toBe(last);
    }
    const ids = this.leader()!.replica!.log.replicas.voters.map(
      ref => ref.replicaId,
    );
    expect(ids.length).toBe(NAMES.length);
  }

  private apply(node: Node, index: number, text: string): Uint8Array {
    const known = this.history.get(index);
    expect(known === undefined || known === text, `index ${index}`).toBe(true);
    expect(node.applied.has(index)).toBe(false);
    this.history.set(index, text);
    node.applied.set(index, text);
    node.served = Math.max(node.served, index);
    return new Uint8Array();
  }

  private restore(node: Node, index: number, state: Uint8Array): void {
    const pairs = JSON.parse(Buffer.from(state).toString('utf8')) as Array<
      [number, string]
    >;
    for (const [i, text] of pairs) {
      expect(this.history.get(i)).toBe(text);
    }
    node.applied = new Map(pairs);
    node.served = Math.max(node.served, index);
  }
}

type Action =
  | {
      readonly kind:
        'propose' | 'crash' | 'start' | 'cut' | 'heal' | 'lose' | 'full';
      readonly at: number;
    }
  | {readonly kind: 'oneWay'; readonly at: number; readonly to: number}
  | {readonly kind: 'wait'; readonly ms: number};

const at = fc.nat(NAMES.length - 1);
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({kind: fc.constant('propose' as const), at}),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.nat(4 * ELECTION_MS),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'crash' as const,
        'start' as const,
        'cut' as const,
        'heal' as const,
        'lose' as const,
        'full' as const,
      ),
      at,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('oneWay' as const), at, to: at}),
  },
);

async function act(bench: Bench, step: Action, n: number): Promise<void> {
  switch (step.kind) {
    case 'wait':
      await bench.clock.advance(step.ms);
      return;
    case 'propose':
      bench.nodes.forEach(node => bench.propose(node, `${n}${node.name}`));
      await bench.clock.advance(step.at * 2);
      return;
    case 'crash':
      await bench.crash(bench.nodes[step.at]!);
      return;
    case 'start':
      await bench.start(bench.nodes[step.at]!);
      return;
    case 'cut':
      bench.cut(bench.nodes[step.at]!, true);
      return;
    case 'oneWay':
      bench.cutOneWay(bench.nodes[step.at]!, bench.nodes[step.to]!);
      return;
    case 'heal':
      bench.heal();
      return;
    case 'lose':
      await bench.loseDisk(bench.nodes[step.at]!);
      return;
    case 'full': {
      const {disk} = bench.nodes[step.at]!;
      disk.failure = disk.failure ? undefined : new Error('ENOSPC');
      return;
    }
    default:
      step satisfies never;
  }
}

describe('Replica', () => {
  it('keeps one history through any crashes, cuts, full and lost disks and elections', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.array(action, {minLength: 5, maxLength: 40}),
        async (seed, steps) => {
          const bench = new Bench(seed);
          await bench.form();
          await bench.clock.advance(5 * ELECTION_MS);
          for (const [n, step] of steps.entries()) {
            await act(bench, step, n);
          }
          await bench.conclude();
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('keeps all of 500 commands through restarts of each replica and of all at once', async () => {
    const bench = new Bench(21);
    await bench.form();
    await bench.clock.advance(5 * ELECTION_MS);
    for (let n = 0; n < 500; n++) {
      bench.propose(bench.leader()!, `n${n}`);
      await bench.clock.advance(30);
      if (n % 100 === 50) {
        const node = bench.nodes[((n / 100) % NAMES.length) | 0]!;
        await bench.crash(node);
        await bench.start(node);
        await bench.clock.advance(10 * ELECTION_MS);
      }
    }
    expect(bench.accepted.length).toBe(500);
    for (const node of bench.nodes) {
      await bench.crash(node);
    }
    await bench.conclude();
    expect(bench.accepted.length).toBe(501);
  });

  it('has a leader soon after all were killed at once', async () => {
    for (const seed of [25, 26, 27, 28]) {
      const bench = new Bench(seed);
      await bench.form();
      await bench.clock.advance(5 * ELECTION_MS);
      bench.propose(bench.leader()!, 'first');
      await bench.clock.advance(ELECTION_MS);
      for (const node of bench.nodes) {
        await bench.crash(node);
      }
      for (const node of bench.nodes) {
        await bench.start(node);
      }
      await bench.clock.advance(ELECTION_MS);
      expect(bench.leader()).toBeDefined();
      await bench.conclude();
    }
  });

  it('loses nothing when a second disk is lost right after the first was repaired', async () => {
    const bench = new Bench(22);
    await bench.form();
    await bench.clock.advance(5 * ELECTION_MS);
    bench.propose(bench.leader()!, 'first');
    await bench.clock.advance(5 * ELECTION_MS);
    for (let round = 0; round < 4; round++) {
      const lost = bench.nodes.find(node => node !== bench.leader())!;
      expect(await bench.loseDisk(lost)).toBe(true);
      bench.propose(bench.leader()!, `round ${round}`);
      await bench.start(lost);
      await bench.clock.advance(20 * ELECTION_MS);
    }
    await bench.conclude();
    expect(bench.accepted.length).toBe(6);
  });

  it('accepts nothing while a majority is cut off, and goes on after', async () => {
    const bench = new Bench(23);
    await bench.form();
    await bench.clock.advance(5 * ELECTION_MS);
    const leader = bench.leader()!;
    bench.cut(leader, true);
    bench.propose(leader, 'alone');
    await bench.clock.advance(20 * ELECTION_MS);
    expect(bench.accepted).toEqual([]);
    expect(leader.replica!.isLeader).toBe(false);
    const next = bench.leader()!;
    expect(next).not.toBe(leader);
    bench.propose(next, 'majority');
    await bench.clock.advance(5 * ELECTION_MS);
    await bench.conclude();
    expect(bench.accepted).toEqual(['majority', 'last']);
  });

  it('goes on when a follower disk is full, and that follower catches up', async () => {
    const bench = new Bench(24);
    await bench.form();
    await bench.clock.advance(5 * ELECTION_MS);
    const follower = bench.nodes.find(node => node !== bench.leader())!;
    follower.disk.failure = new Error('ENOSPC');
    for (let n = 0; n < 30; n++) {
      bench.propose(bench.leader()!, `n${n}`);
      await bench.clock.advance(ELECTION_MS);
    }
    expect(bench.accepted.length).toBe(30);
    await bench.conclude();
  });
});
