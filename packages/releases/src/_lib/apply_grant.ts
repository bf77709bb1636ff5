import type {Applied} from '../apply_command/applied.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';

/**
 * Grants a data centre's scheduler, if nobody else was granted it meanwhile.
 *
 * @param state - State before.
 * @param command - Data centre, new holder, and the token it replaces.
 * @returns State after, and the grant in force.
 */
export function applyGrant(
  state: ControlState,
  command: Extract<ControlCommand, {kind: 'grantScheduler'}>,
): Applied {
  const {dataCentre, fromToken, instanceId, boot} = command;
  const held = state.schedulers[dataCentre];
  if ((held?.token ?? 0) !== fromToken) {
    return {state, result: {kind: 'grant', accepted: false, grant: held}};
  }
  const token = state.lastToken + 1;
  const grant = {instanceId, boot, token};
  const schedulers = {...state.schedulers, [dataCentre]: grant};
  return {
    state: {...state, schedulers, lastToken: token},
    result: {kind: 'grant', accepted: true, grant},
  };
}
