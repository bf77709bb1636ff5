import type {
  DataCentreId,
  InFlightJob,
  InstanceId,
  JobId,
  SubmissionId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import type {MemoryNetworkEnd} from '@papayarun/test_kit';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {expect, it} from 'vitest';
import {InterruptedJobRelay} from './interrupted_job_relay.js';
import {InterruptedJobs} from './interrupted_jobs.js';

const CENTRO = 'centro' as DataCentreId;
const STATE = 'centro-state' as InstanceId;
const ENTRY = 'centro-1' as InstanceId;
const LATE_ENTRY = 'centro-2' as InstanceId;
const LOST = 'serra-1' as InstanceId;
const OTHER_LOST = 'serra-2' as InstanceId;
const LEASE_MS = 1_070;
/** Longest way of a notice over a state instance and back, in milliseconds. */
const NOTICES_MS = 5;
/** More than an instance keeps of one entry, fewer than of two. */
const MANY = 4_000;
const TOO_MANY = 5_000;
/** Most that an instance keeps of one entry. */
const MAX_KEPT = 4_096;

/** Entry and state instance, and entries that name jobs and are lost. */
class Group {
  readonly clock = VirtualClock.create();
  readonly log = SilentLog.create();
  readonly relay: InterruptedJobRelay;
  readonly entry: InterruptedJobs;
  private readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(2),
    1,
  );
  private readonly linked = new Map<InstanceId, DataCentreId>();

  constructor() {
    this.relay = InterruptedJobRelay.create({
      clock: this.clock,
      log: this.log,
      network: this.network.join(STATE),
      entries: () => this.linked,
    });
    this.entry = this.startEntry(ENTRY);
  }

  startEntry(self: InstanceId): InterruptedJobs {
    this.linked.set(self, CENTRO);
    return InterruptedJobs.create({
      self,
      dataCentre: CENTRO,
      clock: this.clock,
      random: SeededRandom.create(1),
      log: this.log,
      network: this.network.join(self),
      entries: () => new Map(),
      stateInstances: () => [STATE],
      inFlightKeepers: () => new Map(),
      runsEndAfterMs: LEASE_MS,
    });
  }

  /** Names jobs in flight of an entry to an instance, or their ends. */
  async name(
    from: InstanceId,
    to: InstanceId,
    count: number,
    forMs = 8_000,
    first = 0,
  ): Promise<void> {
    const jobs = Array.from({length: count}, (_, n): InFlightJob => ({
      jobId: idOf(from, first + n),
      submissionId: `${from}/${first + n}` as SubmissionId,
      forMs,
    }));
    const end: MemoryNetworkEnd = this.network.join(from);
    end.notify(to, 'jobsInFlight', {jobs, runsEndAfterMs: LEASE_MS});
    await this.clock.advance(5);
  }

  /** Jobs of a lost entry that the other one would run. */
  unheld(from: InstanceId, count: number, entry = this.entry): JobId[] {
    return Array.from({length: count}, (_, n) => idOf(from, n)).filter(
      id => !entry.mayRun(id),
    );
  }
}

function idOf(entry: InstanceId, n: number): JobId {
  return `${entry}-${n}` as JobId;
}

it('holds the jobs of a lost entry that had more than its backup keeps', async () => {
  const group = new Group();
  await group.name(LOST, ENTRY, TOO_MANY);
  group.entry.recordLoss(LOST);
  expect(group.unheld(LOST, TOO_MANY)).toEqual([]);
  await group.clock.advance(LEASE_MS + NOTICES_MS);
  expect(group.entry.mayRun(idOf(LOST, 0))).toBe(false);
});

it('holds the jobs of a lost entry that had more than a state instance keeps', async () => {
  const group = new Group();
  await group.name(LOST, STATE, TOO_MANY);
  group.relay.recordLoss(LOST);
  await group.clock.advance(5);
  expect(group.unheld(LOST, TOO_MANY)).toEqual([]);
  await group.clock.advance(LEASE_MS + NOTICES_MS);
  expect(group.entry.mayRun(idOf(LOST, 0))).toBe(false);
});

it('holds the jobs of entries lost at once that had more than a notice has room for', async () => {
  const group = new Group();
  await group.name(LOST, STATE, MANY);
  await group.name(OTHER_LOST, STATE, MANY);
  group.relay.recordLoss(LOST);
  group.relay.recordLoss(OTHER_LOST);
  await group.clock.advance(5);
  expect(group.unheld(LOST, MANY)).toEqual([]);
  expect(group.unheld(OTHER_LOST, MANY)).toEqual([]);
});

it('tells an entry that is linked later of jobs that were dropped', async () => {
  const group = new Group();
  await group.name(LOST, STATE, TOO_MANY);
  group.relay.recordLoss(LOST);
  await group.clock.advance(100);
  const late = group.startEntry(LATE_ENTRY);
  group.relay.recordLink(LATE_ENTRY);
  await group.clock.advance(5);
  expect(group.unheld(LOST, TOO_MANY, late)).toEqual([]);
});

it.each([ENTRY, STATE])(
  'holds the jobs that %s has dropped when all that it keeps have ended',
  async to => {
    const group = new Group();
    await group.name(LOST, to, TOO_MANY);
    await group.name(LOST, to, MAX_KEPT, 0, TOO_MANY - MAX_KEPT);
    group.entry.recordLoss(LOST);
    group.relay.recordLoss(LOST);
    await group.clock.advance(5);
    expect(group.unheld(LOST, TOO_MANY - MAX_KEPT)).toEqual([]);
  },
);

it('says once that all jobs are held, and for how long', async () => {
  const group = new Group();
  await group.name(LOST, ENTRY, TOO_MANY);
  expect(group.entry.allHeldMs).toBe(0);
  group.entry.recordLoss(LOST);
  expect(group.entry.allHeldMs).toBe(LEASE_MS);
  await group.clock.advance(10);
  const events = group.log.events.filter(({name}) => name === 'allJobsHeld');
  expect(events).toMatchObject([{fields: {forMs: LEASE_MS}}]);
});

it('holds no other job while nothing was dropped', async () => {
  const group = new Group();
  await group.name(LOST, STATE, MANY);
  group.relay.recordLoss(LOST);
  await group.clock.advance(5);
  expect(group.unheld(LOST, MANY)).toEqual([]);
  expect(group.entry.mayRun(idOf(OTHER_LOST, 0))).toBe(false);
});

it('starts no waiting task of a job that may be one of the dropped ones', async () => {
  const group = new Group();
  await group.name(LOST, ENTRY, TOO_MANY);
  group.entry.recordLoss(LOST);
  await group.clock.advance(5);
  const waiting = idOf(LOST, 0);
  expect(group.entry.mayRun(waiting)).toBe(true);
  expect(group.entry.otherRunsForMs(waiting, () => false)).toBeGreaterThan(0);
});

// Waiting jobs would not be served before their deadline.
it.each([ENTRY, STATE])(
  'starts waiting tasks again when the runs that %s has dropped have ended',
  async to => {
    const group = new Group();
    await group.name(LOST, to, TOO_MANY);
    group.entry.recordLoss(LOST);
    group.relay.recordLoss(LOST);
    await group.clock.advance(LEASE_MS + NOTICES_MS);
    expect(group.entry.otherRunsForMs(idOf(LOST, 0), () => false)).toBe(0);
  },
);

it('starts waiting tasks of jobs without other runs while nothing was dropped', async () => {
  const group = new Group();
  await group.name(LOST, ENTRY, MANY);
  group.entry.recordLoss(LOST);
  await group.clock.advance(5);
  const other = idOf(OTHER_LOST, 0);
  expect(group.entry.otherRunsForMs(other, () => false)).toBe(0);
});
