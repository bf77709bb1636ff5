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
    network: {linked: () => []},
    membership: {isAlive: () => false},
    clock,
    random: SeededRandom.create(1),
    ownToken: () => undefined,
  });
}

describe('SchedulerFinder', () => {
  it('lets new jobs wait for a scheduler after a start, for a second', async () => {
    const clock = VirtualClock.create();
    const finder = finderAt(clock);
    expect(finder.isTakeover('notScheduler')).toBe(true);
    expect(finder.isTakeover('tooLate')).toBe(false);
    await clock.advance(1_001);
    expect(finder.isTakeover('notScheduler')).toBe(false);
  });

  it('lets new jobs wait after a change of the grant, for half a second', async () => {
    const clock = VirtualClock.create();
    const finder = finderAt(clock);
    await clock.advance(5_000);
    finder.noteGrant(7);
    expect(finder.isTakeover('noTargets')).toBe(true);
    await clock.advance(501);
    finder.noteGrant(7);
    expect(finder.isTakeover('noTargets')).toBe(false);
  });
});
