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

const INSTANCE_IDS = ['a', 'b', 'c'] as InstanceId[];
/** Largest number of instances in the random search. */
const MAX_INSTANCES = 5;
const ELECTION_TIMEOUT_MS = 100;
const SYNC_MS = 3;
const MAX_DELAY_MS = 4;
const COMPACT_AFTER = 20;
/**
 * Time in which a change has to be acknowledged: 4 s at an election timeout of
 * 500 ms.
 */
const ACKNOWLEDGE_MS = 8 * ELECTION_TIMEOUT_MS;
/** Time after which a replacement has started: 1 s at an election timeout of 500 ms. */
const REPLACEMENT_DELAY_MS = 2 * ELECTION_TIMEOUT_MS;
/**
 * Time after the start of a replacement in which it has to take the place of the
 * replica that is gone: 4 s at an election timeout of 500 ms.
 */
const CATCH_UP_MS = 8 * ELECTION_TIMEOUT_MS;
/** Number of runs and seed; the environment overrides them for longer runs outside CI. */
const RUNS = Number(process.env['PAPAYARUN_RUNS'] ?? 120);
const SEED = Number(process.env['PAPAYARUN_SEED'] ?? 20);

interface Node {
  readonly name: InstanceId;
  readonly disk: MemoryDisk;
  replica: Replica | undefined;
  /** Applied commands by index, including those replayed from this disk. */
  applied: Map<number, string>;
  /** Highest index that was ever applied with this disk. */
  highestApplied: number;
  starting: boolean;
}

/** Replicas on a virtual clock, network and disks; checks each applied command. */
class TestCluster {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly nodes: Node[];
  readonly history = new Map<number, string>();
  readonly committed: string[] = [];
  private readonly random;
  private readonly net;
  /** Instances that other ones know of, including those that are gone. */
  private readonly knownInstances: InstanceId[] = [];
  private replicaCount = 0;

  constructor(seed: number) {
    this.random = SeededRandom.create(seed);
    this.net = MemoryNetwork.create(this.clock, this.random, MAX_DELAY_MS);
    this.nodes = INSTANCE_IDS.map(name => this.createNode(name));
  }

  private createNode(name: InstanceId): Node {
    this.knownInstances.push(name);
    return {
      name,
      disk: MemoryDisk.create(this.clock, this.random, SYNC_MS),
      replica: undefined,
      applied: new Map<number, string>(),
      highestApplied: 0,
      starting: false,
    };
  }

  /** Starts an instance with an empty disk at an address of its own. */
  async add(): Promise<Node> {
    const node = this.createNode(
      `n${this.knownInstances.length}` as InstanceId,
    );
    this.nodes.push(node);
    await this.start(node);
    return node;
  }

  /** Ends an instance for good. */
  async remove(node: Node): Promise<void> {
    await this.crash(node);
    this.nodes.splice(this.nodes.indexOf(node), 1);
  }

  /** Replaces an instance by an empty one at another address. */
  async replace(node: Node): Promise<Node> {
    await this.remove(node);
    await this.clock.advance(REPLACEMENT_DELAY_MS);
    return this.add();
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
    // A full disk rejects this promise before the handler below is attached.
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
      node.highestApplied,
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
      replicaInstances: this.knownInstances,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      compactAfterEntries: COMPACT_AFTER,
      compactAfterBytes: Infinity,
      makeReplicaId: () => `${node.name}${++this.replicaCount}` as ReplicaId,
      apply: (index, command) =>
        this.apply(node, index, Buffer.from(command).toString('utf8')),
      restore: (index, state) => this.restore(node, index, state),
      problemOf: () => undefined,
      serialize: () => Buffer.from(JSON.stringify([...node.applied])),
      stateIndex: () => Math.max(0, ...node.applied.keys()),
    });
  }

  async crash(node: Node): Promise<void> {
    if (node.replica) {
      this.net.leave(node.name);
      node.disk.crash();
      node.disk.gate.open();
      void node.replica.stop();
      node.replica = undefined;
      await this.clock.advance(1);
    }
  }

  /** Loses the disk of a follower if all replicas hold every committed command. */
  async loseDisk(node: Node): Promise<boolean> {
    if (node === this.leader() || !this.isFullyReplicated()) {
      return false;
    }
    await this.crash(node);
    node.disk.lose();
    node.highestApplied = 0;
    return true;
  }

  /** Replaces an instance if all replicas hold every committed command. */
  async replaceIfReplicated(node: Node): Promise<void> {
    if (this.isFullyReplicated()) {
      await this.replace(node);
    }
  }

  /** Whether the voters are the running replicas, and all hold the whole log. */
  private isFullyReplicated(): boolean {
    const log = this.leader()?.replica!.log;
    if (!log) {
      return false;
    }
    const {voters} = log.replicas;
    const areAllCaughtUp = this.nodes.every(
      n =>
        n.replica?.log.commitIndex === log.commitIndex &&
        !n.replica.log.isBlank,
    );
    const areAllVoters = this.nodes.every(n =>
      voters.some(ref => ref.replicaId === n.replica?.log.replicaId),
    );
    return (
      voters.length === this.nodes.length &&
      log.commitIndex === log.lastIndex &&
      areAllCaughtUp &&
      areAllVoters
    );
  }

  propose(node: Node, text: string): void {
    void node.replica?.propose(Buffer.from(text)).then(res => {
      if (res.kind === 'committed') {
        this.committed.push(text);
      }
    });
  }

  partition(node: Node, isPartitioned: boolean): void {
    for (const other of this.nodes) {
      if (other !== node) {
        this.net.setCut(node.name, other.name, isPartitioned);
        this.net.setCut(other.name, node.name, isPartitioned);
      }
    }
  }

  partitionOneWay(from: Node, to: Node): void {
    this.net.setCut(from.name, to.name, true);
  }

  heal(): void {
    this.net.heal();
  }

  leader(): Node | undefined {
    const leaders = this.nodes.filter(node => node.replica?.isLeader);
    return leaders.sort((a, b) => b.replica!.log.term - a.replica!.log.term)[0];
  }

  /** Checks that a change is committed in the time that an operator waits. */
  async expectCommitInTime(): Promise<void> {
    const before = this.committed.length;
    const intervalMs = ELECTION_TIMEOUT_MS / 2;
    for (let ms = 0; ms < ACKNOWLEDGE_MS; ms += intervalMs) {
      this.nodes.forEach(node =>
        this.propose(node, `${ms} ms at ${node.name}`),
      );
      await this.clock.advance(intervalMs);
    }
    expect(this.committed.length).toBeGreaterThan(before);
  }

  /**
   * Heals the network, then checks that all replicas hold each committed
   * command exactly once.
   */
  async healAndVerify(): Promise<void> {
    this.heal();
    for (const node of this.nodes) {
      node.disk.failure = undefined;
      node.disk.gate.open();
      await this.start(node);
    }
    await this.clock.advance(40 * ELECTION_TIMEOUT_MS);
    const last = 'last';
    this.propose(this.leader()!, last);
    await this.clock.advance(10 * ELECTION_TIMEOUT_MS);
    expect(this.committed).toContain(last);
    for (const node of this.nodes) {
      const texts = [...node.applied.values()].filter(text => text !== '');
      for (const text of this.committed) {
        expect(
          texts.filter(t => t === text),
          `${text} on ${node.name}`,
        ).toEqual([text]);
      }
      expect(node.applied.get(Math.max(...node.applied.keys()))).toBe(last);
    }
    const {voters} = this.leader()!.replica!.log.replicas;
    const live = this.nodes.map(node => node.replica!.log.replicaId);
    const liveVoters = voters.filter(ref => live.includes(ref.replicaId));
    expect(liveVoters.length).toBe(live.length);
    // The voters bear as many losses as the live ones alone would.
    const majority = Math.floor(voters.length / 2) + 1;
    expect(live.length - majority).toBe(Math.floor((live.length - 1) / 2));
  }

  private apply(node: Node, index: number, text: string): Uint8Array {
    const known = this.history.get(index);
    expect(known === undefined || known === text, `index ${index}`).toBe(true);
    expect(node.applied.has(index)).toBe(false);
    this.history.set(index, text);
    node.applied.set(index, text);
    node.highestApplied = Math.max(node.highestApplied, index);
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
    node.highestApplied = Math.max(node.highestApplied, index);
  }
}

type Action =
  | {
      readonly kind:
        | 'propose'
        | 'crash'
        | 'start'
        | 'cut'
        | 'heal'
        | 'lose'
        | 'full'
        | 'replace'
        | 'add'
        | 'stall';
      readonly at: number;
    }
  | {readonly kind: 'oneWay'; readonly at: number; readonly to: number}
  | {readonly kind: 'wait'; readonly ms: number};

const at = fc.nat(MAX_INSTANCES - 1);
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({kind: fc.constant('propose' as const), at}),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.nat(4 * ELECTION_TIMEOUT_MS),
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
        'replace' as const,
        'add' as const,
        'stall' as const,
      ),
      at,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('oneWay' as const), at, to: at}),
  },
);

async function runAction(
  cluster: TestCluster,
  step: Action,
  n: number,
): Promise<void> {
  if (step.kind === 'wait') {
    await cluster.clock.advance(step.ms);
    return;
  }
  const node = cluster.nodes[step.at % cluster.nodes.length]!;
  switch (step.kind) {
    case 'propose':
      // Those after the first one wait for its write.
      for (const part of ['', 'b', 'c']) {
        cluster.nodes.forEach(to =>
          cluster.propose(to, `${n}${to.name}${part}`),
        );
      }
      await cluster.clock.advance(step.at * 2);
      return;
    case 'crash':
      await cluster.crash(node);
      return;
    case 'start':
      await cluster.start(node);
      return;
    case 'cut':
      cluster.partition(node, true);
      return;
    case 'oneWay':
      cluster.partitionOneWay(
        node,
        cluster.nodes[step.to % cluster.nodes.length]!,
      );
      return;
    case 'heal':
      cluster.heal();
      return;
    case 'lose':
      await cluster.loseDisk(node);
      return;
    case 'full': {
      const {disk} = node;
      disk.failure = disk.failure ? undefined : new Error('ENOSPC');
      disk.refusesTruncation = n % 2 === 0;
      return;
    }
    case 'stall':
      if (node.replica) {
        node.disk.gate.close();
      }
      return;
    case 'replace':
      await cluster.replaceIfReplicated(node);
      return;
    case 'add':
      if (cluster.nodes.length < MAX_INSTANCES) {
        await cluster.add();
      }
      return;
    default:
      step satisfies never;
  }
}

describe('Replica', () => {
  it('keeps one history through crashes, network partitions, full disks, lost disks, replacements and elections', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.array(action, {minLength: 5, maxLength: 40}),
        async (seed, steps) => {
          const cluster = new TestCluster(seed);
          await cluster.form();
          await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
          for (const [n, step] of steps.entries()) {
            await runAction(cluster, step, n);
          }
          await cluster.healAndVerify();
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('keeps 500 commands through restarts of single replicas and of all replicas at once', async () => {
    const cluster = new TestCluster(21);
    await cluster.form();
    await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    for (let n = 0; n < 500; n++) {
      cluster.propose(cluster.leader()!, `n${n}`);
      await cluster.clock.advance(30);
      if (n % 100 === 50) {
        const node = cluster.nodes[((n / 100) % INSTANCE_IDS.length) | 0]!;
        await cluster.crash(node);
        await cluster.start(node);
        await cluster.clock.advance(10 * ELECTION_TIMEOUT_MS);
      }
    }
    expect(cluster.committed.length).toBe(500);
    for (const node of cluster.nodes) {
      await cluster.crash(node);
    }
    await cluster.healAndVerify();
    expect(cluster.committed.length).toBe(501);
  });

  it('elects a leader soon after all replicas crash at once', async () => {
    for (const seed of [25, 26, 27, 28]) {
      const cluster = new TestCluster(seed);
      await cluster.form();
      await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      cluster.propose(cluster.leader()!, 'first');
      await cluster.clock.advance(ELECTION_TIMEOUT_MS);
      for (const node of cluster.nodes) {
        await cluster.crash(node);
      }
      for (const node of cluster.nodes) {
        await cluster.start(node);
      }
      await cluster.clock.advance(ELECTION_TIMEOUT_MS);
      expect(cluster.leader()).toBeDefined();
      await cluster.healAndVerify();
    }
  });

  it('loses no command when another disk is lost right after a lost one is replaced', async () => {
    const cluster = new TestCluster(22);
    await cluster.form();
    await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    cluster.propose(cluster.leader()!, 'first');
    await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    for (let round = 0; round < 4; round++) {
      const lost = cluster.nodes.find(node => node !== cluster.leader())!;
      expect(await cluster.loseDisk(lost)).toBe(true);
      cluster.propose(cluster.leader()!, `round ${round}`);
      await cluster.start(lost);
      await cluster.clock.advance(20 * ELECTION_TIMEOUT_MS);
    }
    await cluster.healAndVerify();
    expect(cluster.committed.length).toBe(6);
  });

  it('commits nothing on a leader that is isolated from the majority, and continues with a new leader', async () => {
    const cluster = new TestCluster(23);
    await cluster.form();
    await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    const leader = cluster.leader()!;
    cluster.partition(leader, true);
    cluster.propose(leader, 'alone');
    await cluster.clock.advance(20 * ELECTION_TIMEOUT_MS);
    expect(cluster.committed).toEqual([]);
    expect(leader.replica!.isLeader).toBe(false);
    const next = cluster.leader()!;
    expect(next).not.toBe(leader);
    cluster.propose(next, 'majority');
    await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    await cluster.healAndVerify();
    expect(cluster.committed).toEqual(['majority', 'last']);
  });

  it('continues when the disk of a follower is full, and the follower catches up later', async () => {
    const cluster = new TestCluster(24);
    await cluster.form();
    await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    const follower = cluster.nodes.find(node => node !== cluster.leader())!;
    follower.disk.failure = new Error('ENOSPC');
    for (let n = 0; n < 30; n++) {
      cluster.propose(cluster.leader()!, `n${n}`);
      await cluster.clock.advance(ELECTION_TIMEOUT_MS);
    }
    expect(cluster.committed.length).toBe(30);
    await cluster.healAndVerify();
  });

  // The leader went on with heartbeats, which need no disk, so that the others kept
  // it while nothing was committed.
  it('hands over from a leader whose disk stalls before the operator gives up', async () => {
    for (let seed = 111; seed < 121; seed++) {
      const cluster = await formedCluster(seed);
      const leader = cluster.leader()!;
      leader.disk.gate.close();
      await cluster.expectCommitInTime();
      expect(leader.replica!.isLeader).toBe(false);
      const {term} = cluster.leader()!.replica!.log;
      leader.disk.gate.open();
      await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      expect(cluster.leader()!.replica!.log.term).toBe(term);
      await cluster.healAndVerify();
    }
  });

  it('keeps a leader whose disk stalls while nothing waits for it', async () => {
    const cluster = await formedCluster(121);
    const leader = cluster.leader()!;
    leader.disk.gate.close();
    await cluster.clock.advance(20 * ELECTION_TIMEOUT_MS);
    expect(cluster.leader()).toBe(leader);
    leader.disk.gate.open();
    await cluster.expectCommitInTime();
    expect(cluster.leader()).toBe(leader);
    await cluster.healAndVerify();
  });

  it('keeps a leader with a slow disk and more proposals than it can store, since it commits', async () => {
    const cluster = await formedCluster(122);
    const leader = cluster.leader()!;
    leader.disk.syncMs = ELECTION_TIMEOUT_MS;
    const before = cluster.committed.length;
    for (let n = 0; n < 60; n++) {
      cluster.propose(leader, `n${n}`);
      await cluster.clock.advance(ELECTION_TIMEOUT_MS);
    }
    expect(cluster.leader()).toBe(leader);
    expect(leader.replica!.stalls).toBe(0);
    expect(cluster.committed.length).toBeGreaterThan(before);
    leader.disk.syncMs = SYNC_MS;
    await cluster.healAndVerify();
  });

  // Each replica whose disk refused to remove the part of a failed write was out
  // for good, so changes stayed unanswered once a majority had had a full disk.
  it('commits changes after all disks were full one after another, leaders and followers', async () => {
    for (let seed = 31; seed < 41; seed++) {
      const cluster = new TestCluster(seed);
      await cluster.form();
      await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      for (const {name, disk} of cluster.nodes) {
        disk.refusesTruncation = true;
        disk.failure = new Error('ENOSPC');
        for (let n = 0; n < 6; n++) {
          cluster.nodes.forEach(node =>
            cluster.propose(node, `${name}${n}${node.name}`),
          );
          await cluster.clock.advance(ELECTION_TIMEOUT_MS);
        }
        disk.failure = undefined;
        await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      }
      const before = cluster.committed.length;
      cluster.propose(cluster.leader()!, 'after');
      await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      expect(cluster.committed.length).toBe(before + 1);
      await cluster.healAndVerify();
    }
  });

  it('hands over from a leader whose disk is full before the operator gives up', async () => {
    for (let seed = 41; seed < 51; seed++) {
      const cluster = new TestCluster(seed);
      await cluster.form();
      await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      const leader = cluster.leader()!;
      leader.disk.refusesTruncation = seed % 2 === 0;
      leader.disk.failure = new Error('ENOSPC');
      cluster.propose(leader, 'refused');
      await cluster.clock.advance(ACKNOWLEDGE_MS);
      const next = cluster.leader();
      expect(next).toBeDefined();
      expect(next).not.toBe(leader);
      await cluster.healAndVerify();
    }
  });

  // The replica that was gone stayed a voter, so two of four voters were missing
  // after the next loss and the log had no leader any more.
  describe('after a replica was replaced at another address', () => {
    const losses = {
      ends: (cluster: TestCluster, node: Node) => cluster.crash(node),
      'is cut off': (cluster: TestCluster, node: Node) =>
        Promise.resolve(cluster.partition(node, true)),
      'loses its disk': async (cluster: TestCluster, node: Node) => {
        await cluster.crash(node);
        node.disk.lose();
        node.highestApplied = 0;
        await cluster.start(node);
      },
    };
    for (const [name, lose] of Object.entries(losses)) {
      it(`commits changes when another one ${name}`, async () => {
        for (let seed = 61; seed < 67; seed++) {
          const cluster = await formedCluster(seed);
          const isLeaderReplaced = seed % 2 === 0;
          await cluster.replace(
            cluster.nodes.find(
              node => (node === cluster.leader()) === isLeaderReplaced,
            )!,
          );
          await cluster.clock.advance(CATCH_UP_MS);
          await lose(cluster, cluster.nodes[seed % 3]!);
          await cluster.expectCommitInTime();
          await cluster.healAndVerify();
        }
      });
    }

    it('commits changes when two of six others are lost at once, after two were replaced at once', async () => {
      for (let seed = 101; seed < 107; seed++) {
        const cluster = await formedCluster(seed);
        for (let n = INSTANCE_IDS.length; n < 6; n++) {
          await cluster.add();
          await cluster.clock.advance(CATCH_UP_MS);
        }
        const [first, second] = [seed % 6, (seed + 1 + (seed % 4)) % 6].map(
          n => cluster.nodes[n]!,
        );
        await cluster.remove(first!);
        await cluster.remove(second!);
        await cluster.clock.advance(REPLACEMENT_DELAY_MS);
        await cluster.add();
        await cluster.add();
        await cluster.clock.advance(CATCH_UP_MS);
        const [third, fourth] = cluster.nodes.slice(seed % 3);
        await losses['loses its disk'](cluster, third!);
        await losses[seed % 2 === 0 ? 'is cut off' : 'ends'](cluster, fourth!);
        await cluster.expectCommitInTime();
        await cluster.healAndVerify();
      }
    });

    it('commits changes when the successor came first', async () => {
      for (let seed = 71; seed < 75; seed++) {
        const cluster = await formedCluster(seed);
        await cluster.add();
        await cluster.clock.advance(CATCH_UP_MS);
        await cluster.remove(cluster.nodes[seed % 3]!);
        await cluster.clock.advance(CATCH_UP_MS);
        await cluster.crash(cluster.nodes[seed % 3]!);
        await cluster.expectCommitInTime();
        await cluster.healAndVerify();
      }
    });

    it('takes back a replica that was only cut off, and commits nothing on its old membership', async () => {
      for (let seed = 91; seed < 97; seed++) {
        const cluster = await formedCluster(seed);
        const cutOff = cluster.nodes[seed % 3]!;
        cluster.partition(cutOff, true);
        await cluster.clock.advance(REPLACEMENT_DELAY_MS);
        const added = await cluster.add();
        cluster.partition(cutOff, true);
        await cluster.clock.advance(CATCH_UP_MS);
        expect(cutOff.replica!.status().voter).toBe(true);
        const isVoter = (node: Node): boolean =>
          cluster
            .leader()!
            .replica!.log.replicas.voters.some(
              ref => ref.replicaId === node.replica!.log.replicaId,
            );
        expect(isVoter(added)).toBe(true);
        expect(isVoter(cutOff)).toBe(false);
        cluster.heal();
        await cluster.crash(cluster.leader()!);
        await cluster.expectCommitInTime();
        await cluster.healAndVerify();
        expect(isVoter(cutOff)).toBe(true);
      }
    });

    it('logs a replica that returns after the log has forgotten it', async () => {
      const cluster = await formedCluster(98);
      const away = cluster.nodes[0]!;
      await cluster.remove(away);
      await cluster.add();
      for (let n = 0; n < INSTANCE_IDS.length; n++) {
        await cluster.clock.advance(CATCH_UP_MS);
        await cluster.replace(cluster.nodes[0]!);
      }
      await cluster.clock.advance(2 * CATCH_UP_MS);
      cluster.nodes.push(away);
      await cluster.start(away);
      await cluster.clock.advance(CATCH_UP_MS);
      const refused = cluster.log.events.filter(
        event => event.name === 'replicaRefused',
      );
      expect(refused.map(event => event.fields)).toEqual([
        {peer: away.name, replicaId: away.replica!.log.replicaId},
      ]);
    });

    it('commits changes when all others were replaced in turn, and after a restart of all', async () => {
      for (let seed = 81; seed < 85; seed++) {
        const cluster = await formedCluster(seed);
        for (let n = 0; n < INSTANCE_IDS.length; n++) {
          await cluster.replace(cluster.nodes[0]!);
          await cluster.clock.advance(CATCH_UP_MS);
        }
        for (const node of [...cluster.nodes]) {
          await cluster.crash(node);
        }
        for (const node of cluster.nodes.slice(seed % 2)) {
          await cluster.start(node);
        }
        await cluster.expectCommitInTime();
        await cluster.healAndVerify();
      }
    });
  });
});

async function formedCluster(seed: number): Promise<TestCluster> {
  const cluster = new TestCluster(seed);
  await cluster.form();
  await cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
  return cluster;
}
