import type {Membership, PeerState} from '@papayarun/membership';
import type {
  DataCentreId,
  Heartbeat,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {inFlightKeepersOf} from './in_flight_keepers_of.js';

const SERRA = 'serra' as DataCentreId;

function keepersOf(
  heartbeat: Partial<Heartbeat>,
  linked: readonly string[] = ['serra-1'],
): ReturnType<typeof inFlightKeepersOf> {
  const instanceId = 'serra-1' as InstanceId;
  const peer = {
    instanceId,
    heartbeat: {dataCentre: SERRA, role: 'state', ...heartbeat},
  } as PeerState;
  const membership: Pick<Membership, 'livePeers'> = {livePeers: () => [peer]};
  const network: Pick<PeerNetwork, 'connectedPeers'> = {
    connectedPeers: () => linked as InstanceId[],
  };
  return inFlightKeepersOf(membership, network);
}

it('returns a state instance that announces the interval', () => {
  expect([...keepersOf({inFlightIntervalMs: 6})]).toEqual([
    ['serra-1', {dataCentre: SERRA, intervalMs: 6}],
  ]);
});

it('names no jobs to a state instance of a version that ignores them', () => {
  expect(keepersOf({}).size).toBe(0);
  const decoded = {inFlightIntervalMs: null} as unknown as Partial<Heartbeat>;
  expect(keepersOf(decoded).size).toBe(0);
});

it('returns no instance without a link, and no entry instance', () => {
  expect(keepersOf({inFlightIntervalMs: 6}, []).size).toBe(0);
  expect(keepersOf({inFlightIntervalMs: 6, role: 'entry'}).size).toBe(0);
});
