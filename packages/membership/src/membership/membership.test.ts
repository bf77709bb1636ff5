import type {BootId, DataCentreId, InstanceId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {GatedClock, MemoryNetwork, VirtualClock} from '@papayarun/test_kit';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {Membership} from './membership.js';

const HEARTBEAT_MS = 500;
const TIMEOUT_MS = 2_500;
const HOUR_MS = 3_600_000;
const DATA_CENTRE = 'centro' as DataCentreId;

interface Member {
  readonly name: InstanceId;
  readonly end: MemoryNetworkEnd;
  readonly membership: Membership;
  readonly changes: Array<{
    readonly peer: InstanceId;
    readonly alive: boolean;
    readonly atMs: number;
  }>;
  pauses: number;
}

class TestCluster {
  readonly clock = VirtualClock.create();
  readonly net = MemoryNetwork.create(this.clock, SeededRandom.create(50), 5);
  readonly members: Member[];
  private bootCount = 0;

  constructor(
    count: number,
    private readonly intervals = 1,
  ) {
    this.members = Array.from({length: count}, (_, n) =>
      this.join(`m${n}` as InstanceId),
    );
    this.members.forEach(member => member.membership.start());
  }

  private join(name: InstanceId): Member {
    const end = this.net.join(name);
    const member: Member = {
      name,
      end,
      changes: [],
      pauses: 0,
      membership: Membership.create({
        self: name,
        dataCentre: DATA_CENTRE,
        boot: `boot${++this.bootCount}` as BootId,
        network: end,
        clock: GatedClock.create(this.clock, end.gate),
        heartbeatMs: HEARTBEAT_MS,
        intervalsBetweenHeartbeats: () => this.intervals,
        timeoutMs: TIMEOUT_MS,
        ownState: () => 'ready',
        heartbeatFields: () => ({
          role: 'all',
          state: 'ready',
          stateIndex: 0,
          currentAgeMs: 0,
          digest: {own: {}, dataCentre: {}},
        }),
        onHeartbeat: () => undefined,
        onLiveInDataCentreChange: () => undefined,
        onChange: (peer, alive) =>
          member.changes.push({peer, alive, atMs: this.clock.now()}),
        onProcessPaused: () => {
          member.pauses++;
          member.membership.startNewIncarnation(
            `boot${++this.bootCount}` as BootId,
          );
        },
      }),
    };
    return member;
  }
}

describe('Membership', () => {
  it('marks no peer dead in an hour at 5 % message loss', async () => {
    const cluster = new TestCluster(6);
    cluster.net.lossRate = 0.05;
    await cluster.clock.advance(HOUR_MS);
    for (const member of cluster.members) {
      expect(member.changes.filter(change => !change.alive)).toEqual([]);
      expect(member.membership.liveInDataCentre().length).toBe(6);
    }
  });

  it('sends fewer heartbeats at a longer interval, and marks no peer dead for it at 5 % loss', async () => {
    const cluster = new TestCluster(4, 3);
    cluster.net.lossRate = 0.05;
    const [receiver, silent] = cluster.members as [Member, Member];
    let received = 0;
    const count = (): void => {
      received++;
    };
    await cluster.clock.advance(HOUR_MS);
    for (const {changes} of cluster.members) {
      expect(changes.filter(change => !change.alive)).toEqual([]);
    }
    receiver.end.onNotice('heartbeat', count);
    await cluster.clock.advance(60 * HEARTBEAT_MS);
    expect(received).toBeLessThanOrEqual((3 * 60) / 3 + 3);
    const other = cluster.members[2]!;
    silent.end.gate.close();
    await cluster.clock.advance(3 * TIMEOUT_MS + 2 * HEARTBEAT_MS);
    expect(other.membership.isAlive(silent.name)).toBe(false);
  });

  it('marks a paused instance dead within the timeout plus two heartbeats, and alive again as a new incarnation', async () => {
    const cluster = new TestCluster(3);
    await cluster.clock.advance(5_000);
    const [paused, other] = cluster.members as [Member, Member];
    const boot = paused.membership.boot;
    paused.end.gate.close();
    const pausedAtMs = cluster.clock.now();
    await cluster.clock.advance(10_000);
    const dead = other.changes.find(
      change => change.peer === paused.name && !change.alive,
    );
    expect(dead!.atMs - pausedAtMs).toBeLessThanOrEqual(
      TIMEOUT_MS + 2 * HEARTBEAT_MS,
    );
    paused.end.gate.open();
    await cluster.clock.advance(2_000);
    expect(paused.pauses).toBe(1);
    expect(paused.membership.boot).not.toBe(boot);
    expect(other.membership.peer(paused.name)!.heartbeat.boot).toBe(
      paused.membership.boot,
    );
    expect(other.membership.isAlive(paused.name)).toBe(true);
  });

  it('marks no peer dead after a pause of its own process', async () => {
    const cluster = new TestCluster(3);
    await cluster.clock.advance(5_000);
    const paused = cluster.members[0]!;
    paused.end.gate.close();
    await cluster.clock.advance(60_000);
    paused.end.gate.open();
    await cluster.clock.advance(2_000);
    expect(paused.changes.filter(change => !change.alive)).toEqual([]);
  });

  it('marks a peer dead only on the receiving side of a one-way partition, and recovers', async () => {
    const cluster = new TestCluster(3);
    await cluster.clock.advance(5_000);
    const [a, b] = cluster.members as [Member, Member];
    cluster.net.setCut(a.name, b.name, true);
    await cluster.clock.advance(10_000);
    expect(b.membership.isAlive(a.name)).toBe(false);
    expect(a.membership.isAlive(b.name)).toBe(true);
    cluster.net.heal();
    await cluster.clock.advance(2_000);
    expect(b.membership.isAlive(a.name)).toBe(true);
  });

  it('marks a peer dead as soon as its end is recorded, until it is heard again', async () => {
    const cluster = new TestCluster(3);
    await cluster.clock.advance(5_100);
    const [ended, other] = cluster.members as [Member, Member];
    const {boot} = ended.membership;
    other.membership.recordEnd(ended.name);
    expect(other.membership.isAlive(ended.name)).toBe(false);
    expect(other.membership.liveInDataCentre()).not.toContain(ended.name);
    expect(other.membership.hasEnded(ended.name, boot)).toBe(true);
    ended.membership.startNewIncarnation('reborn' as BootId);
    await cluster.clock.advance(10);
    expect(other.membership.isAlive(ended.name)).toBe(true);
    expect(other.membership.hasEnded(ended.name, boot)).toBe(false);
    expect(other.changes.slice(-2)).toMatchObject([
      {peer: ended.name, alive: false},
      {peer: ended.name, alive: true},
    ]);
  });

  it('tells which silent peers may still run', async () => {
    const cluster = new TestCluster(3);
    await cluster.clock.advance(5_100);
    const [ended, silent, observer] = cluster.members as [
      Member,
      Member,
      Member,
    ];
    const heardWithin = (ms: number): InstanceId[] =>
      observer.membership.peersHeardWithin(ms).map(peer => peer.instanceId);
    ended.end.gate.close();
    silent.end.gate.close();
    observer.membership.recordEnd(ended.name);
    await cluster.clock.advance(2_000);
    expect(heardWithin(3_000)).toEqual([silent.name]);
    await cluster.clock.advance(2_000);
    expect(heardWithin(3_000)).toEqual([]);
  });

  it('withdraws the ends of a data centre when one of them proves wrong, and keeps them when a peer has restarted', async () => {
    const cluster = new TestCluster(4);
    await cluster.clock.advance(5_100);
    const [a, b, c, observer] = cluster.members as [
      Member,
      Member,
      Member,
      Member,
    ];
    const hasEnded = (member: Member): boolean =>
      observer.membership.hasEnded(member.name, member.membership.boot);
    for (const member of [a, b, c]) {
      member.end.gate.close();
      observer.membership.recordEnd(member.name);
    }
    b.membership.startNewIncarnation('reborn' as BootId);
    b.membership.sendHeartbeat();
    await cluster.clock.advance(10);
    expect([a, c].map(hasEnded)).toEqual([true, true]);
    a.membership.sendHeartbeat();
    await cluster.clock.advance(10);
    expect([a, c].map(hasEnded)).toEqual([false, false]);
    expect(observer.membership.isAlive(a.name)).toBe(true);
    expect(observer.membership.isAlive(c.name)).toBe(false);
  });
});
