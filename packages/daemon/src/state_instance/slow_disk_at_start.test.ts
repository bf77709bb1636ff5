import {WsPeerNetwork} from '@papayarun/membership';
import type {
  BootId,
  DataCentreId,
  Heartbeat,
  InstanceId,
} from '@papayarun/protocol';
import {SeededRandom, SystemClock} from '@papayarun/protocol';
import type {Disk} from '@papayarun/replication';
import {MemoryDisk, SilentLog} from '@papayarun/test_kit';
import {afterEach, describe, expect, it} from 'vitest';
import {Metrics} from '../metrics/metrics.js';
import {StateInstance} from './state_instance.js';

const HOST = `127.88.${process.pid % 250}.1`;
const PEER_HOST = `127.88.${process.pid % 250}.2`;
const PORT = 7_720;
const SELF = `${HOST}:${PORT}` as InstanceId;
const PEER = `${PEER_HOST}:${PORT}` as InstanceId;
const KEY = 'key';
const DATA_CENTRE = 'centro' as DataCentreId;
/** Time for which the disk reads nothing, in milliseconds; some heartbeats long. */
const STALL_MS = 600;
const HEARTBEAT_MS = 50;
const HEARTBEAT: Heartbeat = {
  boot: 'b' as BootId,
  dataCentre: DATA_CENTRE,
  role: 'entry',
  state: 'ready',
  stateIndex: 7,
  currentAgeMs: 0,
  digest: {own: {}, dataCentre: {}},
  maxTargets: 1,
};

/** Disk that reads nothing at first. */
function stalledDisk(): Disk {
  const clock = SystemClock.create();
  const disk = MemoryDisk.create(clock, SeededRandom.create(1), 1).open();
  const readableAtMs = clock.now() + STALL_MS;
  return {
    read: async name => {
      await clock.sleep(readableAtMs - clock.now());
      return disk.read(name);
    },
    append: (name, bytes) => disk.append(name, bytes),
    truncate: (name, size) => disk.truncate(name, size),
    replace: (name, bytes) => disk.replace(name, bytes),
    close: () => disk.close(),
  };
}

/** Peer that dials the instance and sends heartbeats once it has a link. */
async function startPeer(): Promise<{stop: () => Promise<void>}> {
  const ignore = (): void => undefined;
  const network = await WsPeerNetwork.create(
    {
      self: PEER,
      key: KEY,
      peers: [],
      acceptsUnknownPeers: true,
      clock: SystemClock.create(),
      random: SeededRandom.create(2),
      observer: {
        linkUp: ignore,
        linkDown: ignore,
        linkRefused: ignore,
        sent: ignore,
      },
      maxFrameBytes: 1 << 20,
      maxBufferedBytes: 1 << 20,
      linkTimeoutMs: () => 5_000,
      linkCheckMs: 1_000,
    },
    {host: PEER_HOST, port: PORT},
  );
  network.addDiscoveredPeer({
    instanceId: SELF,
    dataCentre: DATA_CENTRE,
    host: HOST,
    port: PORT,
    replica: true,
  });
  network.start();
  const timer = setInterval(
    () => network.notify(SELF, 'heartbeat', HEARTBEAT),
    HEARTBEAT_MS,
  );
  return {
    stop: () => {
      clearInterval(timer);
      return network.stop();
    },
  };
}

describe('A state instance whose disk is slow at its start', () => {
  const running: Array<{stop: () => Promise<void>}> = [];

  afterEach(async () => {
    await Promise.all(running.splice(0).map(part => part.stop()));
  });

  // Its client of the log was built for the first heartbeat, before there was a
  // replica, and it led without committing anything.
  it('commits what it is asked to when a peer was heard before its log was open', async () => {
    running.push(await startPeer());
    const state = await StateInstance.create({
      cfg: {
        instanceId: SELF,
        dataCentre: DATA_CENTRE,
        role: 'state',
        host: HOST,
        port: PORT,
        seeds: [SELF],
        peerKey: KEY,
        heartbeatMs: HEARTBEAT_MS,
        peerTimeoutMs: 900,
        electionTimeoutMs: 100,
      },
      isFirstStart: true,
      disk: stalledDisk(),
      clock: SystemClock.create(),
      random: SeededRandom.create(3),
      log: SilentLog.create(),
      metrics: Metrics.create(false),
    });
    running.push(state);
    const content = {routes: []};
    expect(await state.applyConfiguration(3, content)).toBe(3);
    expect(await state.readConfiguration()).toMatchObject({revision: 3});
  });
});
