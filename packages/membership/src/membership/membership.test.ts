import type {BootId, DataCentreId, InstanceId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {GatedClock, MemoryNetwork, VirtualClock} from '@papayarun/test_kit';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {Membership} from './membership.js';

const HEARTBEAT_MS = 500;
const TIMEOUT_MS = 2_500;
const HOUR_MS = 3_600_000;
const CENTRO = 'centro' as DataCentreId;

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

class Bench {
  readonly clock = VirtualClock.create();
  readonly net = MemoryNetwork.create(this.clock, SeededRandom.create(50), 5);
  readonly members: Member[];
  private made = 0;

  constructor(count: number) {
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
        dataCentre: CENTRO,
        boot: `boot${++this.made}` as BootId,
        network: end,
        clock: GatedClock.create(this.clock, end.gate),
        heartbeatMs: HEARTBEAT_MS,
        timeoutMs: TIMEOUT_MS,
        ownState: () => 'ready',
        describe: () => ({
          role: 'all',
          state: 'ready',
          stateIndex: 0,
          currentAgeMs: 0,
          digest: {own: {}, dataCentre: {}},
        }),
        onHeartbeat: () => undefined,
        onLiveHere: () => undefined,
        onChange: (peer, alive) =>
          member.changes.push({peer, alive, atMs: this.clock.now()}),
        onPause: () => {
          member.pauses++;
          member.membership.renew(`boot${++this.made}` as BootId);
        },
      }),
    };
    return member;
  }
}

describe('Membership', () => {
  it('does not flap in an hour at 5 % loss', async () => {
    const bench = new Bench(6);
    bench.net.lossRate = 0.05;
    await bench.clock.advance(HOUR_MS);
    for (const member of bench.members) {
      expect(member.changes.filter(change => !change.alive)).toEqual([]);
      expect(member.membership.liveHere().length).toBe(6);
    }
  });

  it('drops a frozen instance within seconds; it comes back as a new incarnation', async () => {
    const bench = new Bench(3);
    await bench.clock.advance(5_000);
    const [frozen, other] = bench.members as [Member, Member];
    const boot = frozen.membership.boot;
    frozen.end.gate.close();
    const frozenAtMs = bench.clock.now();
    await bench.clock.advance(10_000);
    const dead = other.changes.find(
      change => change.peer === frozen.name && !change.alive,
    );
    expect(dead!.atMs - frozenAtMs).toBeLessThanOrEqual(
      TIMEOUT_MS + 2 * HEARTBEAT_MS,
    );
    frozen.end.gate.open();
    await bench.clock.advance(2_000);
    expect(frozen.pauses).toBe(1);
    expect(frozen.membership.boot).not.toBe(boot);
    expect(other.membership.peer(frozen.name)!.heartbeat.boot).toBe(
      frozen.membership.boot,
    );
    expect(other.membership.isAlive(frozen.name)).toBe(true);
  });

  it('does not take its own pause for the death of all others', async () => {
    const bench = new Bench(3);
    await bench.clock.advance(5_000);
    const frozen = bench.members[0]!;
    frozen.end.gate.close();
    await bench.clock.advance(60_000);
    frozen.end.gate.open();
    await bench.clock.advance(2_000);
    expect(frozen.changes.filter(change => !change.alive)).toEqual([]);
  });

  it('sees both sides of a one-way cut differently, and recovers', async () => {
    const bench = new Bench(3);
    await bench.clock.advance(5_000);
    const [a, b] = bench.members as [Member, Member];
    bench.net.setCut(a.name, b.name, true);
    await bench.clock.advance(10_000);
    expect(b.membership.isAlive(a.name)).toBe(false);
    expect(a.membership.isAlive(b.name)).toBe(true);
    bench.net.heal();
    await bench.clock.advance(2_000);
    expect(b.membership.isAlive(a.name)).toBe(true);
  });
});
