import type {DataCentreId, InstanceId, ShardId} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import type {SchedulerGrant} from '@papayarun/releases';
import {ControlStore, EMPTY_CONTROL_STATE} from '@papayarun/releases';
import {VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import type {NodeSettings} from '../cluster_node/node_settings.js';
import {SchedulerFinder} from './scheduler_finder.js';

const SELF = 'centro-1:7720' as InstanceId;

function finderAt(
  clock: VirtualClock,
  store: Pick<ControlStore, 'state'> = ControlStore.create(),
  links: InstanceId[] = [],
  evacuated: string[] = [],
): SchedulerFinder {
  const cfg: Partial<NodeSettings> = {
    instanceId: SELF,
    dataCentre: 'centro' as DataCentreId,
  };
  return SchedulerFinder.create({
    cfg: cfg as NodeSettings,
    store: store as ControlStore,
    network: {connectedPeers: () => links},
    membership: {isAlive: id => links.includes(id)},
    clock,
    random: SeededRandom.create(1),
    linkTo: id => links.push(id),
    ownToken: () => undefined,
    isEvacuated: dataCentre => evacuated.includes(dataCentre),
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

  it('links to the successor of a scheduler that had dialled this instance', async () => {
    const clock = VirtualClock.create();
    const shard = 'centro#1' as ShardId;
    const grantOf = (name: string, token: number): SchedulerGrant => ({
      instanceId: name as InstanceId,
      boot: 'b' as SchedulerGrant['boot'],
      token,
    });
    const store = {
      state: {
        ...EMPTY_CONTROL_STATE,
        schedulers: {[shard]: grantOf('next', 2)},
      },
    };
    const finder = finderAt(clock, store);
    let successor: SchedulerGrant | undefined;
    const {signal} = new AbortController();
    void finder
      .waitForSuccessor(shard, grantOf('former', 1), 1_500, signal)
      .then(grant => (successor = grant));
    await clock.advance(50);
    expect(successor).toEqual(grantOf('next', 2));
  });

  // The caller of a job was answered up to 421 ms after its deadline.
  it('waits for a successor no longer than the caller of the job', async () => {
    const clock = VirtualClock.create();
    const former: SchedulerGrant = {
      instanceId: 'former' as InstanceId,
      boot: 'b' as SchedulerGrant['boot'],
      token: 1,
    };
    let endedMs: number | undefined;
    const {signal} = new AbortController();
    void finderAt(clock)
      .waitForSuccessor('centro' as ShardId, former, 50, signal)
      .then(() => (endedMs = clock.now()));
    await clock.advance(2_000);
    expect(endedMs).toBe(50);
  });

  // Each job was submitted to the schedulers of the evacuated data centre first.
  it('chooses the schedulers of the other data centres when its own is evacuated', () => {
    const clock = VirtualClock.create();
    const names = ['centro-2', 'serra-2', 'ribeira-2'];
    const grants = names.map((name, n) => [
      name.replace(/-.*/, ''),
      {instanceId: name, boot: 'b', token: n + 1},
    ]);
    const schedulers = Object.fromEntries(grants) as Record<
      string,
      SchedulerGrant
    >;
    const store = {state: {...EMPTY_CONTROL_STATE, schedulers}};
    const choicesWith = (evacuated: string[], refusing: string[]): string[] =>
      finderAt(clock, store, names as InstanceId[], evacuated)
        .firstChoices(new Set(refusing as DataCentreId[]))
        .map(({dataCentre}) => dataCentre)
        .sort();
    expect(choicesWith([], [])).toEqual(['centro']);
    expect(choicesWith(['centro'], [])).toEqual(['ribeira', 'serra']);
    expect(choicesWith([], ['centro'])).toEqual(['ribeira', 'serra']);
    expect(choicesWith(['serra'], ['centro'])).toEqual(['ribeira']);
    expect(choicesWith(['centro', 'serra', 'ribeira'], [])).toEqual([]);
    const finder = finderAt(clock, store, names as InstanceId[], ['centro']);
    expect(finder.areAllEvacuated()).toBe(false);
    expect(finder.isAnyEvacuated()).toBe(true);
    expect(finderAt(clock, store).isAnyEvacuated()).toBe(false);
    const all = ['centro', 'serra', 'ribeira'];
    expect(finderAt(clock, store, [], all).areAllEvacuated()).toBe(true);
    expect(finderAt(clock).areAllEvacuated()).toBe(false);
  });
});
