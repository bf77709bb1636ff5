import type {ShardId} from '@papayarun/protocol';
import {dataCentreOfShard} from '@papayarun/protocol';
import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Assigns targets to the smallest shards of their data centre.
 *
 * @description Shards are those that have been granted to a scheduler. A target
 * that has a shard keeps it: the scheduler of another shard would have to learn
 * which runs and leases the target holds. Targets that find all shards full get
 * none.
 * @param state - State before the command.
 * @param command - Data centre, targets and largest size of a shard.
 * @returns State after the command, and the shards of the targets.
 */
export function applyTargetAssignment(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'assignTargets'}>,
): AppliedCommand {
  const {dataCentre, targetIds, maxTargetsPerShard} = command;
  const sizes = new Map<ShardId, number>();
  for (const shard of Object.keys(state.schedulers) as ShardId[]) {
    if (dataCentreOfShard(shard) === dataCentre) {
      sizes.set(shard, 0);
    }
  }
  for (const shard of Object.values(state.targetShards)) {
    const size = sizes.get(shard);
    if (size !== undefined) {
      sizes.set(shard, size + 1);
    }
  }
  const targetShards = {...state.targetShards};
  const shards: Record<string, ShardId> = {};
  for (const targetId of targetIds) {
    let shard = targetShards[targetId];
    if (shard === undefined) {
      const smallest = smallestShard(sizes);
      if (!smallest || smallest.size >= maxTargetsPerShard) {
        continue;
      }
      shard = smallest.shard;
      targetShards[targetId] = shard;
      sizes.set(shard, smallest.size + 1);
    }
    shards[targetId] = shard;
  }
  return {
    state: {...state, targetShards},
    result: {kind: 'targets', shards},
  };
}

function smallestShard(
  sizes: ReadonlyMap<ShardId, number>,
): {readonly shard: ShardId; readonly size: number} | undefined {
  let smallest: {readonly shard: ShardId; readonly size: number} | undefined;
  for (const [shard, size] of sizes) {
    const isSmaller =
      !smallest ||
      size < smallest.size ||
      (size === smallest.size && shard < smallest.shard);
    if (isSmaller) {
      smallest = {shard, size};
    }
  }
  return smallest;
}
