import type {DataCentreId, InstanceId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {ControlStore} from '@papayarun/releases';
import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import type {NodeSettings} from '../cluster_node/node_settings.js';
import {SchedulerFinder} from './scheduler_finder.js';

const SELF = 'centro-1:7720' as InstanceId;

function finderAt(clock: VirtualClock): SchedulerFinder {
  const cfg: Partial<NodeSettings> = {
    instanceId: SELF,
    dataCentre: 'centro' as DataCentreId,
  };
  return SchedulerFinder.create({
    cfg: cfg as NodeSettings,
    store: ControlStore.create(),
    network: {connectedPeers: () => []},
    membership: {isAlive: () => false},
    clock,
    random: SeededRandom.create(1),
    ownToken: () => undefined,
  });
}

describe('SchedulerFinder', () => {
  it('treats a missing scheduler as a takeover for one second after the start', async () => {
    const clock = VirtualClock.create();
    const finder = finderAt(clock);
    expect(finder.isTakeoverRefusal('notScheduler')).toBe(true);
    expect(finder.isTakeoverRefusal('tooLate')).toBe(false);
    await clock.advance(1_001);
    expect(finder.isTakeoverRefusal('notScheduler')).toBe(false);
  });

  it('treats missing targets as a takeover for half a second after a grant change', async () => {
    const clock = VirtualClock.create();
    const finder = finderAt(clock);
    await clock.advance(5_000);
    finder.recordGrants([7]);
    expect(finder.isTakeoverRefusal('noTargets')).toBe(true);
    await clock.advance(501);
    finder.recordGrants([7]);
    expect(finder.isTakeoverRefusal('noTargets')).toBe(false);
  });
});
