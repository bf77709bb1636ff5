import type {Membership, PeerState} from '@papayarun/membership';
import type {Heartbeat, InstanceId, PeerNetwork} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {jobRegistrarsOf} from './job_registrars_of.js';

function registrarsOf(
  heartbeat: Partial<Heartbeat>,
  linked: readonly string[] = ['serra-1'],
): InstanceId[] {
  const instanceId = 'serra-1' as InstanceId;
  const peer = {instanceId, heartbeat} as PeerState;
  const membership: Pick<Membership, 'livePeers'> = {livePeers: () => [peer]};
  const network: Pick<PeerNetwork, 'connectedPeers'> = {
    connectedPeers: () => linked as InstanceId[],
  };
  return jobRegistrarsOf(membership, network);
}

it('returns an instance that announces that it registers jobs', () => {
  expect(registrarsOf({registersJobs: true})).toEqual(['serra-1']);
});

it('returns no instance of a version that does not announce it', () => {
  expect(registrarsOf({})).toEqual([]);
  const decoded = {registersJobs: null} as unknown as Partial<Heartbeat>;
  expect(registrarsOf(decoded)).toEqual([]);
});

it('returns no instance without a link', () => {
  expect(registrarsOf({registersJobs: true}, [])).toEqual([]);
});
