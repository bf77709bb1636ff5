import type {DataCentreId, InstanceId} from '@papayarun/protocol';
import {SeededRandom, SystemClock} from '@papayarun/protocol';
import {MemoryDisk, SilentLog} from '@papayarun/test_kit';
import {afterEach, describe, expect, it} from 'vitest';
import {Metrics} from '../metrics/metrics.js';
import {StateInstance} from './state_instance.js';

/** Third byte of the addresses, so that two test runs rarely collide. */
const RUN_BYTE = process.pid % 250;
const PORT = 7_721;
const SIZE = 3;
const SYNC_MS = 3;
/** Time in which an order has to be acknowledged, in milliseconds. */
const ACKNOWLEDGE_MS = 20_000;
const RETRY_MS = 100;
const SERRA = 'serra' as DataCentreId;
const WAITING = new AbortController().signal;
const clock = SystemClock.create();

/** State instances with real links, which end and start again. */
class StateCluster {
  readonly log = SilentLog.create();
  private readonly ids: InstanceId[];
  private readonly disks = Array.from({length: SIZE}, () => this.newDisk());
  private instances: Array<StateInstance | undefined> = [];

  constructor(byte: number) {
    this.ids = this.disks.map(
      (_, n) => `127.${byte}.${RUN_BYTE}.${n + 1}:${PORT}` as InstanceId,
    );
  }

  async start(n: number, isFirstStart = false): Promise<void> {
    const instanceId = this.ids[n]!;
    this.instances[n] = await StateInstance.create({
      cfg: {
        instanceId,
        dataCentre: 'centro' as DataCentreId,
        role: 'state',
        host: instanceId.split(':')[0]!,
        port: PORT,
        seeds: this.ids,
        peerKey: 'key',
        heartbeatMs: 50,
        peerTimeoutMs: 900,
        electionTimeoutMs: 500,
        evacuationMs: 5_000,
      },
      isFirstStart,
      disk: this.disks[n]!.open(),
      clock,
      random: SeededRandom.create(n),
      log: this.log,
      metrics: Metrics.create(false),
    });
  }

  startAll(isFirstStart = false): Promise<unknown> {
    return Promise.all(this.ids.map((_, n) => this.start(n, isFirstStart)));
  }

  /** Ends an instance, whose disk may be lost. */
  async end(n: number, isDiskLost = false): Promise<void> {
    const instance = this.instances[n];
    this.instances[n] = undefined;
    await instance?.stop();
    if (isDiskLost) {
      this.disks[n]!.lose();
    }
  }

  endAll(): Promise<unknown> {
    return Promise.all(this.ids.map((_, n) => this.end(n)));
  }

  /** Sends an order to an instance until it is acknowledged. */
  async order(n: number, isEvacuated: boolean): Promise<void> {
    const endMs = clock.now() + ACKNOWLEDGE_MS;
    for (;;) {
      try {
        await this.instances[n]!.setEvacuation(SERRA, isEvacuated, WAITING);
        return;
      } catch (err) {
        if (clock.now() > endMs) {
          throw err;
        }
        await clock.sleep(RETRY_MS);
      }
    }
  }

  /** Waits until each instance knows whether the data centre is evacuated. */
  async expectEvacuated(isEvacuated: boolean): Promise<void> {
    const endMs = clock.now() + ACKNOWLEDGE_MS;
    const known = (): unknown[] =>
      this.instances.map(i => i?.gauges()['evacuated_data_centres']);
    const expected = this.ids.map(() => Number(isEvacuated));
    while (known().join() !== expected.join() && clock.now() < endMs) {
      await clock.sleep(RETRY_MS);
    }
    expect(known()).toEqual(expected);
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map(instance => instance?.stop()));
  }

  private newDisk(): MemoryDisk {
    return MemoryDisk.create(clock, SeededRandom.create(1), SYNC_MS);
  }
}

describe('The evacuation of a data centre', () => {
  let cluster: StateCluster;

  afterEach(() => cluster.stop());

  // An order is kept only in the log: what isn't durable would be lost.
  it('outlives the end of all state instances at once, as does its withdrawal', async () => {
    cluster = new StateCluster(92);
    await cluster.startAll(true);
    for (const isEvacuated of [true, false, true, false]) {
      await cluster.order(0, isEvacuated);
      await cluster.endAll();
      await cluster.startAll();
      await cluster.expectEvacuated(isEvacuated);
    }
  }, 60_000);

  it('outlives the loss of a disk, as does its withdrawal', async () => {
    cluster = new StateCluster(93);
    await cluster.startAll(true);
    await cluster.order(1, true);
    await cluster.end(1, true);
    await cluster.start(1);
    await cluster.expectEvacuated(true);
    await cluster.order(1, false);
    await cluster.endAll();
    await cluster.startAll();
    await cluster.expectEvacuated(false);
  }, 60_000);
});
