import type {
  DataCentreId,
  InstanceId,
  JobId,
  PeerNetwork,
  ScheduledJob,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {expect, it} from 'vitest';
import type {InFlightKeeper} from './in_flight_keeper.js';
import {InterruptedJobRelay} from './interrupted_job_relay.js';
import {InterruptedJobs} from './interrupted_jobs.js';

const SELF = 'centro-1' as InstanceId;
const ENTRIES = ['centro-2', 'serra-1', 'ribeira-1'];
const LEASE_MS = 1_070;

function dataCentreOf(id: string): DataCentreId {
  return id.split('-')[0] as DataCentreId;
}

function keepersOf(
  names: readonly string[],
  intervalMs = 5,
): Map<InstanceId, InFlightKeeper> {
  return new Map(
    names.map(id => [
      id as InstanceId,
      {dataCentre: dataCentreOf(id), intervalMs},
    ]),
  );
}

function createEntry(
  clock: VirtualClock,
  network: Pick<PeerNetwork, 'notify' | 'onNotice'>,
  keepers: () => Map<InstanceId, InFlightKeeper>,
  self = SELF,
): InterruptedJobs {
  return InterruptedJobs.create({
    self,
    dataCentre: dataCentreOf(self),
    clock,
    random: SeededRandom.create(1),
    log: SilentLog.create(),
    network,
    entries: () =>
      new Map(ENTRIES.map(id => [id as InstanceId, dataCentreOf(id)])),
    stateInstances: () => [...keepers().keys()],
    inFlightKeepers: keepers,
    runsEndAfterMs: LEASE_MS,
  });
}

function jobOf(n: number): ScheduledJob {
  return {id: `job-${n}` as JobId, leftMs: 8_000} as ScheduledJob;
}

/** Instances that are told of a job in flight, in order. */
async function backupsBeside(...keepers: string[]): Promise<string[]> {
  const clock = VirtualClock.create();
  const told: string[] = [];
  const network = {
    notify: (to: InstanceId) => void told.push(to),
    onNotice: () => undefined,
  };
  const all = keepersOf(keepers);
  createEntry(clock, network, () => all).recordSubmission(jobOf(1));
  await clock.advance(10);
  return told.sort();
}

it('names jobs to one entry and to state instances of two data centres', async () => {
  const told = await backupsBeside('centro-s', 'serra-s', 'ribeira-s');
  expect(told).toHaveLength(3);
  expect(told.slice(0, 2)).toEqual(['centro-2', 'centro-s']);
  expect(told[2]).toMatch(/^(serra|ribeira)-s$/);
});

it('names them to entries of two data centres beside state instances of one', async () => {
  for (const keepers of [['serra-s'], ['serra-s', 'serra-t'], []]) {
    const told = await backupsBeside(...keepers);
    const entries = told.filter(id => ENTRIES.includes(id));
    expect(entries).toHaveLength(2);
    expect(entries).toContain('centro-2');
    expect(told).toHaveLength(2 + keepers.length);
  }
});

it('sends a state instance no more than a thousand notices a second from a hundred entries', async () => {
  const clock = VirtualClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(2), 1);
  const [first, second] = ['centro-s', 'serra-s'] as [InstanceId, InstanceId];
  let received = 0;
  const end = network.join(first);
  const relay = InterruptedJobRelay.create({
    clock,
    log: SilentLog.create(),
    network: {
      notify: () => undefined,
      onNotice: (type, handler) =>
        end.onNotice(type, (from, notice) => {
          received++;
          handler(from, notice);
        }),
    },
    entries: () => new Map(),
  });
  network.join(second);
  const entries = Array.from({length: 100}, (_, n) => {
    const self = `centro-e${n}` as InstanceId;
    const keepers = (): Map<InstanceId, InFlightKeeper> =>
      keepersOf([first, second], relay.inFlightIntervalMs);
    return createEntry(clock, network.join(self), keepers, self);
  });
  const play = async (ms: number): Promise<void> => {
    for (let atMs = 0; atMs < ms; atMs += 4) {
      entries.forEach(entry => entry.recordSubmission(jobOf(atMs)));
      await clock.advance(4);
    }
  };
  await play(500);
  received = 0;
  await play(1_000);
  expect(received).toBeGreaterThan(500);
  expect(received).toBeLessThanOrEqual(1_000 + entries.length);
});

it('names a job that goes on to a state instance that is heard again', async () => {
  const clock = VirtualClock.create();
  const told: string[] = [];
  const network = {
    notify: (to: InstanceId) => void told.push(to),
    onNotice: () => undefined,
  };
  let keepers = keepersOf([]);
  const entry = createEntry(clock, network, () => keepers);
  entry.recordSubmission(jobOf(1));
  await clock.advance(2_000);
  expect(told).toHaveLength(2);
  entry.recordLink('centro-s' as InstanceId);
  await clock.advance(5);
  keepers = keepersOf(['centro-s']);
  await clock.advance(50);
  expect(told.slice(2)).toEqual(['centro-s']);
  entry.recordLink('centro-s' as InstanceId);
  await clock.advance(50);
  expect(told).toHaveLength(3);
});

it('forgets the submissions whose runs it has left', async () => {
  const clock = VirtualClock.create();
  const network = {notify: () => undefined, onNotice: () => undefined};
  const keepers = keepersOf(['centro-s']);
  const entry = createEntry(clock, network, () => keepers);
  const job = jobOf(1);
  const submissionId = entry.recordSubmission(job);
  await clock.advance(10);
  expect(entry.namedSubmissions).toBe(2);
  entry.recordLeftRuns(job.id, submissionId);
  await clock.advance(10);
  expect(entry.namedSubmissions).toBe(0);
});
