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
import {Roster} from './roster.js';
import type {RosterOptions} from './roster_options.js';

const SEED = '10.1.0.14:7200' as InstanceId;
const SCHEDULER = '10.1.0.12:7200' as InstanceId;

describe('Roster', () => {
  it('links to a scheduler as soon as the log names it', () => {
    const dialled: PeerAddress[] = [];
    const network = {
      onCall: () => undefined,
      linked: () => [],
      keepLink: (address: PeerAddress) => dialled.push(address),
      dropLink: () => undefined,
    };
    const cfg: Partial<NodeSettings> = {
      instanceId: '10.1.0.13:7200' as InstanceId,
      role: 'entry',
      seeds: [SEED],
    };
    const roster = Roster.create({
      cfg: cfg as NodeSettings,
      network: network as unknown as PeerNetwork & RosterOptions['network'],
      membership: () => ({livePeers: () => []}) as unknown as Membership,
      clock: VirtualClock.create(),
      log: SilentLog.create(),
      wants: () => true,
    });
    const grant = {
      instanceId: SCHEDULER,
      boot: 'b1' as BootId,
      token: 5,
    };
    roster.addSchedulers({['centro' as DataCentreId]: grant});
    expect(dialled.map(address => address.instanceId)).toEqual([
      SEED,
      SCHEDULER,
    ]);
    expect(dialled[1]).toMatchObject({host: '10.1.0.12', port: 7200});
  });
});
