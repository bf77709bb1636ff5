import type {
  DataCentreId,
  InstanceId,
  JobId,
  ScheduledJob,
  SubmissionId,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {expect, it} from 'vitest';
import {InterruptedJobRelay} from './interrupted_job_relay.js';
import {InterruptedJobs} from './interrupted_jobs.js';

const CENTRO_1 = 'centro-1' as InstanceId;
const CENTRO_2 = 'centro-2' as InstanceId;
const STATE_1 = 'state-1' as InstanceId;
const STATE_2 = 'state-2' as InstanceId;
const CENTRO = 'centro' as DataCentreId;
const LEASE_MS = 1_050;
const JOB = {id: '5c0e7a21d94b36f8' as JobId, leftMs: 8_000} as ScheduledJob;

/** Two entries that are linked to two state instances, not to each other. */
function createEntries(clock: VirtualClock): {
  readonly network: MemoryNetwork;
  readonly sender: InterruptedJobs;
  readonly receiver: InterruptedJobs;
} {
  const network = MemoryNetwork.create(clock, SeededRandom.create(4), 1);
  const createEntry = (self: InstanceId): InterruptedJobs =>
    InterruptedJobs.create({
      self,
      dataCentre: CENTRO,
      clock,
      random: SeededRandom.create(1),
      log: SilentLog.create(),
      network: network.join(self),
      entries: () => new Map(),
      stateInstances: () => [STATE_1, STATE_2],
      inFlightKeepers: () => new Map(),
      runsEndAfterMs: LEASE_MS,
    });
  for (const id of [STATE_1, STATE_2]) {
    InterruptedJobRelay.create({
      clock,
      log: SilentLog.create(),
      network: network.join(id),
      entries: () =>
        new Map([
          [CENTRO_1, CENTRO],
          [CENTRO_2, CENTRO],
        ]),
    });
  }
  return {
    network,
    sender: createEntry(CENTRO_1),
    receiver: createEntry(CENTRO_2),
  };
}

it('tells entries that are linked only to the state instances', async () => {
  const clock = VirtualClock.create();
  const {sender, receiver} = createEntries(clock);
  sender.recordInterruption(JOB.id, sender.recordSubmission(JOB));
  await clock.advance(6);
  expect(receiver.mayRun(JOB.id)).toBe(true);
});

it('tells them while the nearest state instance passes nothing on', async () => {
  const clock = VirtualClock.create();
  const {network, sender, receiver} = createEntries(clock);
  network.setCut(CENTRO_1, STATE_1, true);
  sender.recordInterruption(JOB.id, sender.recordSubmission(JOB));
  await clock.advance(6);
  expect(receiver.mayRun(JOB.id)).toBe(true);
});

it('holds no job for longer than a lease, whatever a notice says', async () => {
  const clock = VirtualClock.create();
  const {network, receiver} = createEntries(clock);
  const jobs = [
    {
      jobId: JOB.id,
      submissionId: 'centro-3/1' as SubmissionId,
      forMs: 1_000_000,
    },
  ];
  const peer = network.join('centro-3' as InstanceId);
  peer.notify(CENTRO_2, 'interruptedJobs', {jobs});
  await clock.advance(LEASE_MS + 1);
  expect(receiver.mayRun(JOB.id)).toBe(false);
});
