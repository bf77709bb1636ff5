import type {
  BootId,
  DataCentreId,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';
import type {Membership, PeerAddress} from '@papayarun/membership';
import {SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import type {NodeSettings} from './node_settings.js';
import {PeerDiscovery} from './peer_discovery.js';
import type {PeerDiscoveryOptions} from './peer_discovery_options.js';

const SEED = '10.1.0.14:7200' as InstanceId;
const SCHEDULER = '10.1.0.12:7200' as InstanceId;

describe('PeerDiscovery', () => {
  it('links to a scheduler as soon as the log grants it', () => {
    const dialled: PeerAddress[] = [];
    const network = {
      onCall: () => undefined,
      connectedPeers: () => [],
      addDiscoveredPeer: (address: PeerAddress) => dialled.push(address),
      removeDiscoveredPeer: () => undefined,
    };
    const cfg: Partial<NodeSettings> = {
      instanceId: '10.1.0.13:7200' as InstanceId,
      role: 'entry',
      seeds: [SEED],
    };
    const discovery = PeerDiscovery.create({
      cfg: cfg as NodeSettings,
      network: network as unknown as PeerNetwork &
        PeerDiscoveryOptions['network'],
      membership: () => ({livePeers: () => []}) as unknown as Membership,
      clock: VirtualClock.create(),
      log: SilentLog.create(),
      shouldLink: () => true,
    });
    const grant = {
      instanceId: SCHEDULER,
      boot: 'b1' as BootId,
      token: 5,
    };
    discovery.recordSchedulers({['centro' as DataCentreId]: grant});
    expect(dialled.map(address => address.instanceId)).toEqual([
      SEED,
      SCHEDULER,
    ]);
    expect(dialled[1]).toMatchObject({host: '10.1.0.12', port: 7200});
  });
});
