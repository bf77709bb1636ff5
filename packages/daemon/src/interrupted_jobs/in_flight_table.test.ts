import type {
  InFlightJob,
  InstanceId,
  JobId,
  SubmissionId,
} from '@papayarun/protocol';
import {VirtualClock} from '@papayarun/test_kit';
import {expect, it} from 'vitest';
import {InFlightTable} from './in_flight_table.js';

const ENTRY = 'centro-1:7720' as InstanceId;

function jobOf(n: number, forMs: number): InFlightJob {
  return {
    jobId: `${n}` as JobId,
    submissionId: `centro-1/${n}` as SubmissionId,
    forMs,
  };
}

it('returns the jobs of an instance once, without those that have ended', async () => {
  const clock = VirtualClock.create();
  const table = InFlightTable.create(clock);
  table.add(ENTRY, [jobOf(1, 100), jobOf(2, 900)]);
  await clock.advance(500);
  expect(table.take(ENTRY)).toEqual([jobOf(2, 900)]);
  expect(table.take(ENTRY)).toEqual([]);
});

it('forgets jobs that have ended', () => {
  const table = InFlightTable.create(VirtualClock.create());
  table.add(ENTRY, [jobOf(1, 900), jobOf(2, 900)]);
  table.add(ENTRY, [jobOf(1, 0)]);
  expect(table.take(ENTRY)).toEqual([jobOf(2, 900)]);
});

it('keeps the newest jobs when there are too many', () => {
  const table = InFlightTable.create(VirtualClock.create());
  for (let n = 0; n < 5_000; n++) {
    table.add(ENTRY, [jobOf(n, 900)]);
  }
  const jobs = table.take(ENTRY);
  expect(jobs.length).toBeLessThanOrEqual(4_096);
  expect(jobs.at(-1)).toEqual(jobOf(4_999, 900));
});

it('knows until when jobs may go on that it has dropped', async () => {
  const clock = VirtualClock.create();
  const table = InFlightTable.create(clock);
  for (let n = 0; n < 5_000; n++) {
    table.add(ENTRY, [jobOf(n, 900)]);
  }
  await clock.advance(100);
  expect(table.droppedForMs(ENTRY)).toBe(800);
  expect(table.droppedForMs('centro-2:7720' as InstanceId)).toBe(0);
  table.take(ENTRY);
  expect(table.droppedForMs(ENTRY)).toBe(0);
});

it('has dropped nothing that has ended', () => {
  const table = InFlightTable.create(VirtualClock.create());
  for (let n = 0; n < 5_000; n++) {
    table.add(ENTRY, [jobOf(n, 900)]);
    table.add(ENTRY, [jobOf(n, 0)]);
  }
  expect(table.droppedForMs(ENTRY)).toBe(0);
});
