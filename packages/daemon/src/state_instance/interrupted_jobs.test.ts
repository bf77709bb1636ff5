import {WsPeerNetwork} from '@papayarun/membership';
import type {
  BootId,
  DataCentreId,
  Heartbeat,
  InFlightJob,
  InstanceId,
  JobId,
  SubmissionId,
} from '@papayarun/protocol';
import {SeededRandom, SystemClock} from '@papayarun/protocol';
import {MemoryDisk, SilentLog} from '@papayarun/test_kit';
import {afterEach, expect, it} from 'vitest';
import {Metrics} from '../metrics/metrics.js';
import {StateInstance} from './state_instance.js';

const PORT = 7_720;
const KEY = 'key';
const CENTRO = 'centro' as DataCentreId;
const SUBNET = `127.86.${process.pid % 250}`;
const STATE = `${SUBNET}.1:${PORT}` as InstanceId;
const HEARTBEAT_MS = 50;
/** Silence alone makes no peer dead during a test. */
const PEER_TIMEOUT_MS = 3_600_000;
const LEASE_MS = 1_070;
const JOB_ID = '5c0e7a21d94b36f8' as JobId;

/** Entry instance that sends heartbeats, and records what it is told. */
class Entry {
  readonly interrupted: InFlightJob[] = [];
  inFlightIntervalMs: number | undefined;
  private timer: ReturnType<typeof setInterval> | undefined;

  private constructor(readonly network: WsPeerNetwork) {
    network.onNotice('interruptedJobs', (_from, {jobs}) =>
      this.interrupted.push(...jobs),
    );
    network.onNotice('heartbeat', (_from, heartbeat) => {
      this.inFlightIntervalMs = heartbeat.inFlightIntervalMs;
    });
  }

  static async start(n: number): Promise<Entry> {
    const ignore = (): void => undefined;
    const host = `${SUBNET}.${n}`;
    const network = await WsPeerNetwork.create(
      {
        self: `${host}:${PORT}` as InstanceId,
        key: KEY,
        peers: [],
        acceptsUnknownPeers: true,
        clock: SystemClock.create(),
        random: SeededRandom.create(n),
        observer: {
          linkUp: ignore,
          linkDown: ignore,
          linkRefused: ignore,
          sent: ignore,
        },
        maxFrameBytes: 1 << 20,
        maxBufferedBytes: 1 << 20,
        linkTimeoutMs: () => PEER_TIMEOUT_MS,
        linkCheckMs: 1_000,
      },
      {host, port: PORT},
    );
    const entry = new Entry(network);
    network.start();
    network.addDiscoveredPeer({
      instanceId: STATE,
      dataCentre: CENTRO,
      host: `${SUBNET}.1`,
      port: PORT,
      replica: true,
    });
    const heartbeat: Heartbeat = {
      boot: `boot-${n}` as BootId,
      dataCentre: CENTRO,
      role: 'entry',
      state: 'ready',
      stateIndex: 0,
      currentAgeMs: 0,
      digest: {own: {}, dataCentre: {}},
      maxTargets: 10,
    };
    entry.timer = setInterval(
      () => network.notify(STATE, 'heartbeat', heartbeat),
      HEARTBEAT_MS,
    );
    return entry;
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.network.stop();
  }
}

const running: Array<{readonly stop: () => Promise<void>}> = [];

afterEach(async () => {
  await Promise.all(running.splice(0).map(instance => instance.stop()));
});

async function startEntry(n: number): Promise<Entry> {
  const entry = await Entry.start(n);
  running.push(entry);
  return entry;
}

async function startStateInstance(): Promise<void> {
  const clock = SystemClock.create();
  const state = await StateInstance.create({
    cfg: {
      instanceId: STATE,
      dataCentre: CENTRO,
      role: 'state',
      host: `${SUBNET}.1`,
      port: PORT,
      seeds: [STATE],
      peerKey: KEY,
      heartbeatMs: HEARTBEAT_MS,
      peerTimeoutMs: PEER_TIMEOUT_MS,
      electionTimeoutMs: 100,
    },
    isFirstStart: true,
    disk: MemoryDisk.create(clock, SeededRandom.create(1), 1).open(),
    clock,
    random: SeededRandom.create(3),
    log: SilentLog.create(),
    metrics: Metrics.create(false),
  });
  running.push(state);
}

async function waitUntil(isReached: () => boolean): Promise<void> {
  while (!isReached()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

function nameJob(entry: Entry): void {
  const job: InFlightJob = {
    jobId: JOB_ID,
    submissionId: 'centro-2/7' as SubmissionId,
    forMs: 8_000,
  };
  const notice = {jobs: [job], runsEndAfterMs: LEASE_MS};
  entry.network.notify(STATE, 'jobsInFlight', notice);
}

it('tells the other entries of the jobs of an entry whose process ends', async () => {
  await startStateInstance();
  const lost = await startEntry(2);
  const other = await startEntry(3);
  await waitUntil(() => other.inFlightIntervalMs !== undefined);
  await waitUntil(() => lost.inFlightIntervalMs !== undefined);
  nameJob(lost);
  await new Promise(resolve => setTimeout(resolve, 2 * HEARTBEAT_MS));
  expect(other.interrupted).toEqual([]);
  await lost.stop();
  await waitUntil(() => other.interrupted.length > 0);
  expect(other.interrupted).toMatchObject([{jobId: JOB_ID, forMs: LEASE_MS}]);
});

it('tells an entry whose link is new of the jobs of one that has ended before', async () => {
  await startStateInstance();
  const lost = await startEntry(2);
  await waitUntil(() => lost.inFlightIntervalMs !== undefined);
  nameJob(lost);
  await new Promise(resolve => setTimeout(resolve, 2 * HEARTBEAT_MS));
  await lost.stop();
  const startedMs = performance.now();
  await new Promise(resolve => setTimeout(resolve, 2 * HEARTBEAT_MS));
  const other = await startEntry(3);
  await waitUntil(() => other.interrupted.length > 0);
  expect(other.interrupted).toMatchObject([{jobId: JOB_ID}]);
  const {forMs} = other.interrupted[0]!;
  expect(forMs).toBeGreaterThan(LEASE_MS - (performance.now() - startedMs));
  expect(forMs).toBeLessThanOrEqual(LEASE_MS - 2 * HEARTBEAT_MS + 5);
});
