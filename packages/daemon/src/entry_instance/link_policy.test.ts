import type {
  DataCentreId,
  InstanceId,
  KnownInstance,
} from '@papayarun/protocol';
import {shardIdOf} from '@papayarun/protocol';
import type {ControlState, SchedulerGrant} from '@papayarun/releases';
import {describe, expect, it} from 'vitest';
import {LinkPolicy} from './link_policy.js';

const CENTRO = 'centro' as DataCentreId;
const SERRA = 'serra' as DataCentreId;
const RIBEIRA = 'ribeira' as DataCentreId;

type LinkedState = Pick<ControlState, 'schedulers' | 'evacuations'>;

function stateOf(shardsEach: number, evacuated: string[] = []): LinkedState {
  const evacuations = evacuated.map(dataCentre => [
    dataCentre,
    {serial: 1, isEvacuated: true, atMs: 0},
  ]);
  return {
    schedulers: grantsOf(shardsEach),
    evacuations: Object.fromEntries(evacuations) as LinkedState['evacuations'],
  };
}

function grantsOf(shardsEach: number): Record<string, SchedulerGrant> {
  const grants: Record<string, SchedulerGrant> = {};
  for (const dataCentre of [CENTRO, SERRA, RIBEIRA]) {
    for (let n = 0; n < shardsEach; n++) {
      grants[shardIdOf(dataCentre, n)] = {
        instanceId: `${dataCentre}-${n}` as InstanceId,
        boot: 'b' as SchedulerGrant['boot'],
        token: n + 1,
      };
    }
  }
  return grants;
}

function entry(name: string, dataCentre: DataCentreId): KnownInstance {
  return {instanceId: name as InstanceId, dataCentre, role: 'entry'};
}

function linksOf(
  self: string,
  shardsEach: number,
  evacuated: string[] = [],
): string[] {
  const policy = LinkPolicy.create(self as InstanceId, CENTRO);
  const state = stateOf(shardsEach, evacuated);
  return Object.values(state.schedulers)
    .map(({instanceId}) => instanceId)
    .filter(id => policy.shouldLink(entry(id, CENTRO), state));
}

describe('LinkPolicy', () => {
  it('links to all schedulers and state instances of a small deployment', () => {
    expect(linksOf('centro-9', 1)).toEqual([
      'centro-0',
      'serra-0',
      'ribeira-0',
    ]);
    const policy = LinkPolicy.create('centro-9' as InstanceId, CENTRO);
    const state: KnownInstance = {...entry('core', SERRA), role: 'state'};
    expect(policy.shouldLink(state, stateOf(1))).toBe(true);
    expect(policy.shouldLink(entry('centro-5', CENTRO), stateOf(1))).toBe(
      false,
    );
  });

  it('links to a number of schedulers that does not grow with the deployment', () => {
    expect(linksOf('centro-9', 200)).toHaveLength(6);
  });

  it('spreads the links of many instances over the schedulers', () => {
    const counts = new Map<string, number>();
    for (let n = 0; n < 200; n++) {
      for (const id of linksOf(`entry-${n}`, 16)) {
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
    const own = [...counts].filter(([id]) => id.startsWith('centro'));
    expect(own).toHaveLength(16);
    expect(Math.max(...own.map(([, count]) => count))).toBeLessThan(80);
  });

  it('follows the grant of a shard to its next holder', () => {
    const policy = LinkPolicy.create('centro-9' as InstanceId, CENTRO);
    const state = stateOf(1);
    const grants: Record<string, SchedulerGrant> = state.schedulers;
    expect(policy.shouldLink(entry('centro-7', CENTRO), state)).toBe(false);
    const schedulers = {
      ...grants,
      centro: {...grants['centro']!, instanceId: 'centro-7' as InstanceId},
    };
    const moved = {...state, schedulers};
    expect(policy.shouldLink(entry('centro-7', CENTRO), moved)).toBe(true);
  });

  // All jobs of the entry would go to one scheduler of each other data centre.
  it('links to more remote schedulers while its own data centre is evacuated', () => {
    const countOf = (evacuated: string[], dataCentre: string): number =>
      linksOf('centro-9', 16, evacuated).filter(id => id.startsWith(dataCentre))
        .length;
    expect(countOf([], 'serra')).toBe(1);
    expect(countOf(['centro'], 'serra')).toBe(2);
    expect(countOf(['centro'], 'ribeira')).toBe(2);
    expect(countOf(['centro', 'ribeira'], 'serra')).toBe(4);
    expect(countOf(['serra'], 'ribeira')).toBe(1);
  });
});
