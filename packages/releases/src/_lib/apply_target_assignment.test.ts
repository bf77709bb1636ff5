import type {
  BootId,
  DataCentreId,
  InstanceId,
  ShardId,
  TargetId,
} from '@papayarun/protocol';
import {shardIdOf} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {applyCommand} from '../apply_command/apply_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import {EMPTY_CONTROL_STATE} from '../control_state/empty_control_state.js';

const CENTRO = 'centro' as DataCentreId;

function withShards(count: number): ControlState {
  let state = EMPTY_CONTROL_STATE;
  for (let n = 0; n < count; n++) {
    state = applyCommand(state, {
      kind: 'grantScheduler',
      dataCentre: shardIdOf(CENTRO, n),
      fromToken: 0,
      instanceId: `entry-${n}` as InstanceId,
      boot: 'boot' as BootId,
    }).state;
  }
  return state;
}

function assign(
  ids: readonly string[],
  maxTargetsPerShard: number,
): ControlCommand {
  return {
    kind: 'assignTargets',
    dataCentre: CENTRO,
    targetIds: ids as readonly TargetId[],
    maxTargetsPerShard,
  };
}

function sizes(state: ControlState): number[] {
  const counts = new Map<ShardId, number>();
  for (const shard of Object.values(state.targetShards)) {
    counts.set(shard, (counts.get(shard) ?? 0) + 1);
  }
  return [...counts.values()].sort((a, b) => a - b);
}

describe('assignTargets', () => {
  it('fills the shards evenly and leaves out what exceeds their size', () => {
    const ids = Array.from({length: 10}, (_, n) => `t${n}`);
    const {state, result} = applyCommand(withShards(3), assign(ids, 3));
    expect(sizes(state)).toEqual([3, 3, 3]);
    expect(result).toMatchObject({kind: 'targets'});
    expect(Object.keys(state.targetShards)).toHaveLength(9);
  });

  it('never moves a target, whatever is assigned, removed or granted later', () => {
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('assign' as const),
        ids: fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e'), {maxLength: 4}),
        max: fc.integer({min: 1, max: 3}),
      }),
      fc.record({
        kind: fc.constant('grant' as const),
        index: fc.nat(3),
      }),
      fc.record({
        kind: fc.constant('remove' as const),
        id: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
        index: fc.nat(3),
      }),
    );
    fc.assert(
      fc.property(fc.array(step), steps => {
        let state = withShards(1);
        for (const next of steps) {
          const before = state.targetShards;
          const removed = next.kind === 'remove' ? next.id : undefined;
          state = applyCommand(state, commandOf(next, state)).state;
          for (const [id, shard] of Object.entries(before)) {
            if (id !== removed) {
              expect(state.targetShards[id as TargetId]).toBe(shard);
            }
          }
        }
      }),
    );
  });

  it('removes a target only from the shard that the command names', () => {
    const {state} = applyCommand(withShards(1), assign(['a'], 1));
    const removal = {
      kind: 'removeTargets',
      targetIds: ['a' as TargetId],
    } as const;
    const other = applyCommand(state, {
      ...removal,
      shard: shardIdOf(CENTRO, 1),
    });
    expect(other.state.targetShards).toEqual(state.targetShards);
    const own = applyCommand(state, {...removal, shard: shardIdOf(CENTRO, 0)});
    expect(own.state.targetShards).toEqual({});
  });
});

type Step =
  | {readonly kind: 'assign'; readonly ids: string[]; readonly max: number}
  | {readonly kind: 'grant'; readonly index: number}
  | {readonly kind: 'remove'; readonly id: string; readonly index: number};

function commandOf(step: Step, state: ControlState): ControlCommand {
  switch (step.kind) {
    case 'assign':
      return assign(step.ids, step.max);
    case 'grant': {
      const shard = shardIdOf(CENTRO, step.index);
      return {
        kind: 'grantScheduler',
        dataCentre: shard,
        fromToken: state.schedulers[shard]?.token ?? 0,
        instanceId: 'entry' as InstanceId,
        boot: 'boot' as BootId,
      };
    }
    case 'remove':
      return {
        kind: 'removeTargets',
        shard: shardIdOf(CENTRO, step.index),
        targetIds: [step.id as TargetId],
      };
    default:
      return step satisfies never;
  }
}
