import type {
  DataCentreId,
  JobId,
  KindId,
  Resources,
  ScheduledJob,
  ServiceId,
  TargetId,
} from '@papayarun/protocol';
import {addResources} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {slotFreeTimes} from './slot_free_times.js';
import {totalSlots} from './total_slots.js';
import type {TargetSession} from './target_session.js';

const SERVICE = 'falhas' as ServiceId;

function coresOf(cores: number): Resources {
  return {cores, memoryMb: 64, accelerators: 0};
}

/**
 * Session with a target of 32 cores; each run has cores and an expected end in
 * ms.
 */
function sessionOf(
  ...runs: ReadonlyArray<readonly [number, number]>
): TargetSession {
  const capacity = {cores: 32, memoryMb: 1_024, accelerators: 0};
  const free = runs.reduce(
    (left, [cores]) => addResources(left, coresOf(cores), -1),
    capacity,
  );
  const session: Partial<TargetSession> = {
    isAvailable: true,
    report: {
      targetId: 't1' as TargetId,
      bornMs: 1,
      sequence: 1,
      state: 'ready',
      service: SERVICE,
      dataCentre: 'centro' as DataCentreId,
      host: '127.0.0.1',
      port: 1,
      capacity,
      labels: [],
    },
    freeResources: () => free,
    expectedRunEnds: () =>
      runs.map(([cores, atMs]) => ({atMs, freed: coresOf(cores)})),
  };
  return session as TargetSession;
}

function jobOf(count: number, cores: number): ScheduledJob {
  return {
    id: '5c0e7a21d94b36f8' as JobId,
    kind: 'relato' as KindId,
    service: SERVICE,
    spec: '',
    steps: [
      {count, firstIndex: 0, needs: coresOf(cores), estimateMs: 60, after: []},
    ],
    priority: 0,
    maxAttempts: 1,
    stretch: 1.6,
    slackMs: 60,
    ageMs: 0,
    leftMs: 1_000,
    isPromised: false,
  };
}

describe('slotFreeTimes', () => {
  it('counts free slots and those that running tasks will free', () => {
    expect(slotFreeTimes(jobOf(4, 14), [sessionOf([14, 40])], 0, 4, 4)).toEqual(
      [0, 40],
    );
  });

  it('fits a large task on a busy target only after two small ones have ended', () => {
    const busy = sessionOf([14, 40], [14, 90]);
    expect(slotFreeTimes(jobOf(4, 14), [busy], 0, 4, 4)).toEqual([40, 90]);
    expect(slotFreeTimes(jobOf(4, 20), [busy], 0, 4, 4)).toEqual([90]);
  });

  it('counts at most as many slots on a target as there are tasks to place', () => {
    expect(slotFreeTimes(jobOf(1, 4), [sessionOf()], 0, 1, 1)).toEqual([0]);
  });
});

describe('slotFreeTimes of a job that many targets have room for', () => {
  it('looks at no more targets than it takes', () => {
    const sessions = Array.from({length: 50}, () => sessionOf());
    const times = slotFreeTimes(jobOf(4, 14), sessions, 0, 4, 6);
    expect(times).toEqual([0, 0, 0, 0, 0, 0]);
  });

  it('looks at all of them as long as too few slots are free', () => {
    const sessions = [sessionOf([14, 40], [14, 90]), sessionOf([14, 20])];
    expect(slotFreeTimes(jobOf(4, 14), sessions, 0, 4, 4)).toEqual([
      40, 90, 0, 20,
    ]);
  });
});

describe('totalSlots', () => {
  it('counts the tasks that idle targets can run at once', () => {
    const sessions = [sessionOf([14, 40]), sessionOf([14, 40], [14, 90])];
    expect(totalSlots(jobOf(1, 14), sessions)).toBe(4);
    expect(totalSlots(jobOf(1, 20), sessions)).toBe(2);
    expect(totalSlots(jobOf(1, 33), sessions)).toBe(0);
  });
});
