import type {
  BootId,
  DataCentreId,
  EventLog,
  InstanceId,
} from '@papayarun/protocol';
import type {Membership, PeerAddress} from '@papayarun/membership';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import type {NodeSettings} from './node_settings.js';
import {PeerDiscovery} from './peer_discovery.js';
import type {PeerDiscoveryOptions} from './peer_discovery_options.js';

const SEED = '10.1.0.14:7200' as InstanceId;
const SCHEDULER = '10.1.0.12:7200' as InstanceId;

const MEMBER = '10.1.0.15:7200' as InstanceId;
/** Longer than an instance that nobody hears from is remembered, in milliseconds. */
const ABSENCE_MS = 60_000;

/** Peer discovery with a network that records which peers it dials. */
class DiscoveryFixture {
  readonly clock = VirtualClock.create();
  readonly dialled = new Set<InstanceId>();
  readonly events: string[] = [];
  connected: InstanceId[] = [];
  logMembers: InstanceId[] = [];
  readonly discovery: PeerDiscovery;

  constructor(role: NodeSettings['role']) {
    const network = {
      onCall: () => undefined,
      connectedPeers: () => this.connected,
      call: () => Promise.reject(new Error('no answer')),
      addDiscoveredPeer: (address: PeerAddress) =>
        this.dialled.add(address.instanceId),
      removeDiscoveredPeer: (id: InstanceId) => this.dialled.delete(id),
    };
    const cfg: Partial<NodeSettings> = {
      instanceId: '10.1.0.13:7200' as InstanceId,
      role,
      seeds: [SEED],
    };
    this.discovery = PeerDiscovery.create({
      cfg: cfg as NodeSettings,
      network: network as unknown as PeerDiscoveryOptions['network'],
      membership: () => ({livePeers: () => []}) as unknown as Membership,
      clock: this.clock,
      log: {
        ...SilentLog.create(),
        emit: name => this.events.push(name),
      } as EventLog,
      logMembers: () => this.logMembers,
      shouldLink: () => true,
    });
  }
}

describe('PeerDiscovery', () => {
  it('links to a scheduler as soon as the log grants it', () => {
    const {discovery, dialled} = new DiscoveryFixture('entry');
    const grant = {
      instanceId: SCHEDULER,
      boot: 'b1' as BootId,
      token: 5,
    };
    discovery.recordSchedulers({['centro' as DataCentreId]: grant});
    expect([...dialled]).toEqual([SEED, SCHEDULER]);
  });

  it('does not log a call without an answer as a refused link', async () => {
    const fixture = new DiscoveryFixture('entry');
    fixture.connected = [SEED];
    fixture.discovery.start();
    await fixture.clock.advance(1);
    fixture.discovery.stop();
    expect(fixture.events).toEqual(['instancesNotListed']);
  });

  it('forgets an instance that nobody has heard from', async () => {
    const {discovery, dialled, clock} = new DiscoveryFixture('state');
    discovery.recordInstances([
      {
        instanceId: MEMBER,
        dataCentre: 'centro' as DataCentreId,
        role: 'state',
      },
    ]);
    await clock.advance(ABSENCE_MS);
    discovery.updateLinks();
    expect([...dialled]).toEqual([SEED]);
  });

  // A state instance that was away for longer, and whose seeds had all been
  // replaced, found no one and was found by no one.
  it('dials a member of the log that nobody has heard from, and no former seed', async () => {
    const fixture = new DiscoveryFixture('state');
    const {discovery, dialled, clock} = fixture;
    fixture.logMembers = [MEMBER, SCHEDULER];
    discovery.updateLinks();
    await clock.advance(ABSENCE_MS);
    discovery.updateLinks();
    expect([...dialled]).toEqual([SEED, MEMBER, SCHEDULER]);
    expect(discovery.stateInstances()).toContain(MEMBER);
    discovery.useSeeds([MEMBER]);
    fixture.logMembers = [MEMBER];
    discovery.updateLinks();
    expect([...dialled]).toEqual([MEMBER]);
  });
});
