import type {InstanceId, ReplicaId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {
  MemoryDisk,
  MemoryNetwork,
  SilentLog,
  VirtualClock,
} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {Replica} from './replica.js';

const SELF = 'a' as InstanceId;
const COMMAND_BYTES = 10_000;
/** Room for some twenty commands, of which the state keeps the last. */
const DISK_BYTES = 200_000;

describe('A log of large commands', () => {
  // The log was compacted by the number of its entries only. It filled its own disk
  // before that, and no change was accepted any more.
  it('does not fill its disk', async () => {
    const clock = VirtualClock.create();
    const random = SeededRandom.create(1);
    const net = MemoryNetwork.create(clock, random, 1);
    const disk = MemoryDisk.create(clock, random, 2);
    disk.capacityBytes = DISK_BYTES;
    let state = new Uint8Array();
    let lastIndex = 0;
    const opened = Replica.create({
      network: net.join(SELF),
      clock,
      random,
      disk: disk.open(),
      log: SilentLog.create(),
      replicaInstances: [SELF],
      electionTimeoutMs: 100,
      compactAfterEntries: 512,
      compactAfterBytes: 5 * COMMAND_BYTES,
      makeReplicaId: () => 'a1' as ReplicaId,
      apply: (index, command) => {
        state = command.length > 0 ? command : state;
        lastIndex = index;
        return new Uint8Array();
      },
      restore: (_index, restored) => (state = restored),
      problemOf: () => undefined,
      serialize: () => state,
      stateIndex: () => lastIndex,
    });
    await clock.advance(10);
    const replica = await opened;
    const voters = [{instanceId: SELF, replicaId: replica.log.replicaId}];
    const formed = replica.form({replicas: {voters, learners: []}});
    await clock.advance(10);
    expect(await formed).toMatchObject({ok: true});
    replica.start();
    await clock.advance(1_000);
    for (let n = 0; n < 200; n++) {
      const proposed = replica.propose(new Uint8Array(COMMAND_BYTES).fill(n));
      await clock.advance(20);
      expect(await proposed).toMatchObject({kind: 'committed'});
    }
    expect(disk.usedBytes).toBeLessThan(DISK_BYTES);
    expect(state[0]).toBe(199);
  });
});
