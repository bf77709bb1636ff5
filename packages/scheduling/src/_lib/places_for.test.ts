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
import {placesFor} from './places_for.js';
import {roomFor} from './room_for.js';
import type {TargetLane} from './target_lane.js';

const SERVICE = 'falhas' as ServiceId;

function coresOf(cores: number): Resources {
  return {cores, memoryMb: 64, accelerators: 0};
}

/** A target of 32 cores with runs: cores and expected end of each. */
function laneOf(...runs: ReadonlyArray<readonly [number, number]>): TargetLane {
  const capacity = {cores: 32, memoryMb: 1_024, accelerators: 0};
  const free = runs.reduce(
    (left, [cores]) => addResources(left, coresOf(cores), -1),
    capacity,
  );
  const lane: Partial<TargetLane> = {
    isOpen: true,
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
    free: () => free,
    endsAhead: () =>
      runs.map(([cores, atMs]) => ({atMs, freed: coresOf(cores)})),
  };
  return lane as TargetLane;
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

describe('placesFor', () => {
  it('counts free places and those that ends set free', () => {
    expect(placesFor(jobOf(4, 14), [laneOf([14, 40])], 0)).toEqual([0, 40]);
  });

  it('replays a busy target: a large task fits after two small ones only', () => {
    const busy = laneOf([14, 40], [14, 90]);
    expect(placesFor(jobOf(4, 14), [busy], 0)).toEqual([40, 90]);
    expect(placesFor(jobOf(4, 20), [busy], 0)).toEqual([90]);
  });

  it('counts no more places on a target than the job has tasks', () => {
    expect(placesFor(jobOf(1, 4), [laneOf()], 0)).toEqual([0]);
  });
});

describe('roomFor', () => {
  it('counts what the targets hold when nothing else runs', () => {
    const lanes = [laneOf([14, 40]), laneOf([14, 40], [14, 90])];
    expect(roomFor(jobOf(1, 14), lanes)).toBe(4);
    expect(roomFor(jobOf(1, 20), lanes)).toBe(2);
    expect(roomFor(jobOf(1, 33), lanes)).toBe(0);
  });
});
