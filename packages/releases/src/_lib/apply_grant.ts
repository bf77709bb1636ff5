import type {AppliedCommand} from '../apply_command/applied_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Grants the scheduling of a shard to an instance, unless another grant
 * was made since the one that the command replaces.
 *
 * @param state - State before the command.
 * @param command - Shard, new holder, and the token that it replaces.
 * @returns State after the command, and the grant in force.
 */
export function applyGrant(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'grantScheduler'}>,
): AppliedCommand {
  const {dataCentre: shard, fromToken, instanceId, boot} = command;
  const currentGrant = state.schedulers[shard];
  if ((currentGrant?.token ?? 0) !== fromToken) {
    return {
      state,
      result: {kind: 'grant', accepted: false, grant: currentGrant},
    };
  }
  const token = state.lastToken + 1;
  const grant = {instanceId, boot, token};
  const schedulers = {...state.schedulers, [shard]: grant};
  return {
    state: {...state, schedulers, lastToken: token},
    result: {kind: 'grant', accepted: true, grant},
  };
}
