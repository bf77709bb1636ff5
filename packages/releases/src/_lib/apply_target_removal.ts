import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Removes targets from their shard.
 *
 * @param state - State before the command.
 * @param command - Shard and targets.
 * @returns State after the command. Targets that were assigned to another shard
 *   in the meantime stay there.
 */
export function applyTargetRemoval(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'removeTargets'}>,
): AppliedCommand {
  const targetShards = {...state.targetShards};
  for (const targetId of command.targetIds) {
    if (targetShards[targetId] === command.shard) {
      delete targetShards[targetId];
    }
  }
  return {
    state: {...state, targetShards},
    result: {kind: 'targets', shards: {}},
  };
}
